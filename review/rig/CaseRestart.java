import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** A session server restarts: its new process is there a second later, and the list tells of it seconds later. */
final class CaseRestart {

    private static final int RATE = 40;
    private static final int ANSWER_MILLIS = 40;
    private static final int LOAD_MILLIS = 24_000;
    private static final int RESTARTS_AT = 6_000;
    private static final int AWAY_FOR = 1_000;
    private static final int LIST_LATE = 3_000;

    public static void main(String[] args) throws Exception {
        Rig.main(args, CaseRestart::run);
    }

    private static boolean run(Rig rig) throws Exception {
        List<SessionServer> servers = new ArrayList<>();
        List<Bus.Entry> whole = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            SessionServer server = new SessionServer(rig, 0x00c40000 + i, Rig.freePort(), ANSWER_MILLIS, 300,
                    call -> ("session " + call).getBytes());
            server.start();
            servers.add(server);
            whole.add(new Bus.Entry(server, Bus.READY, i, 0));
        }
        Bus bus = new Bus(rig, whole);
        int port = Rig.freePort();
        Program controller = rig.startController("n1", port, Config.write(rig, "n1", port, bus));
        controller.await("serves on", 20_000);
        Client.awaitTest(port, 10_000);
        Client client = new Client(rig, "caller", port);
        client.connect();

        SessionServer restarting = servers.get(2);
        if (rig.hasTrouble) {
            rig.after(RESTARTS_AT, () -> {
                try {
                    restarting.die();
                } catch (java.io.IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            });
            rig.after(RESTARTS_AT + AWAY_FOR, () -> {
                try {
                    restarting.start();
                    long born = System.currentTimeMillis();
                    rig.rec.say(restarting.name + " is back, started at " + born);
                    rig.after(LIST_LATE, () -> bus.tell(List.of(new Bus.Entry(restarting, Bus.READY, 2, born))));
                } catch (java.io.IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            });
        }
        Random random = new Random(5);
        long start = System.nanoTime();
        for (int n = 0; n < RATE * LOAD_MILLIS / 1000; n++) {
            Rig.sleep((start + n * 1_000_000_000L / RATE - System.nanoTime()) / 1_000_000);
            boolean isUrgent = random.nextInt(100) < 6;
            long id = 0x5000_0000_0000_0000L + n + 1;
            long hold = isUrgent ? 3_800 + random.nextInt(1_200) : 7_500 + random.nextInt(2_500);
            Client.CallOf call = client.setup(id, isUrgent ? "deadline-sign" : "status-check", isUrgent ? 2_100 : 3_150,
                    random.nextInt(3), ("document " + n).getBytes());
            rig.after(hold, () -> client.release(call));
        }
        Rig.sleep(10_000 + 10_000);   // the last calls end, and ten seconds for whatever is on its way
        rig.rec.say(client.summary());
        Rig.require(controller.isAlive(), "the call controller is gone");
        int broken = 0;
        int toldWrongly = 0;
        for (SessionServer server : servers) {
            rig.rec.say(server.name + ": " + server.setups + " set-ups, " + server.releases + " releases, "
                    + server.standing().size() + " calls still stand");
            for (long call : server.standing()) {
                Client.CallOf known = client.calls.get(call);
                Rig.require(known.state == Client.State.TOLD_OVER || known.state == Client.State.RELEASED,
                        "the caller did not end " + SessionServer.hex(call));
                broken++;
                toldWrongly += known.state == Client.State.TOLD_OVER ? 1 : 0;
                rig.rec.line("left standing at " + server.name + ": " + SessionServer.hex(call) + ", caller's state "
                        + known.state + ", told cause " + known.cause + " "
                        + (System.nanoTime() - known.changedNanos) / 1_000_000 + " ms ago");
            }
        }
        rig.rec.say(broken + " calls were left standing, of " + toldWrongly + " the caller was told that they are over");
        return broken == 0;
    }
}
