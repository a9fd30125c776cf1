import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Connections to a session server are reset while an answer is on its way; the call stands there already. */
final class ProbeLostAnswer {

    private static final int RATE = 30;
    private static final int LOAD_MILLIS = 24_000;

    public static void main(String[] args) throws Exception {
        Rig.main(args, ProbeLostAnswer::run);
    }

    private static boolean run(Rig rig) throws Exception {
        List<SessionServer> servers = new ArrayList<>();
        List<Bus.Entry> whole = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            SessionServer server = new SessionServer(rig, 0x00c40000 + i, Rig.freePort(), 40, 300,
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
        if (rig.hasTrouble) {
            for (int at = 5_000; at < 17_000; at += 3_000) {
                rig.after(at, () -> servers.get(0).answersToLose = 1);
            }
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
        Rig.sleep(20_000);
        rig.rec.say(client.summary());
        Rig.require(controller.isAlive(), "the call controller is gone");
        int broken = 0;
        for (SessionServer server : servers) {
            rig.rec.say(server.name + ": " + server.setups + " set-ups, " + server.releases + " releases, "
                    + server.standing().size() + " calls still stand");
            for (long call : server.standing()) {
                broken++;
                rig.rec.say("left standing at " + server.name + ": " + SessionServer.hex(call) + ", caller's state "
                        + client.calls.get(call).state);
            }
        }
        return broken == 0;
    }
}
