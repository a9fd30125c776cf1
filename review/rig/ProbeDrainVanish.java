import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** A session server that drains vanishes: how long are the callers of its calls not told? */
final class ProbeDrainVanish {

    public static void main(String[] args) throws Exception {
        Rig.main(args, ProbeDrainVanish::run);
    }

    private static boolean run(Rig rig) throws Exception {
        List<SessionServer> servers = new ArrayList<>();
        List<Bus.Entry> whole = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            SessionServer server = new SessionServer(rig, 0x00c40000 + i, Rig.freePort(), 60, 300,
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
        SessionServer drained = servers.get(0);
        long[] vanished = new long[1];
        List<Long> held = new ArrayList<>();
        rig.after(6_000, () -> bus.tell(List.of(new Bus.Entry(drained, Bus.DRAINING, 0, 0))));
        if (rig.hasTrouble) {
            rig.after(8_000, () -> {
                held.addAll(drained.standing());
                drained.vanish();
                vanished[0] = System.nanoTime();
            });
            rig.after(8_000 + 14_000, () -> bus.tell(List.of(new Bus.Entry(drained, Bus.GONE, 0, 0))));
        }
        Random random = new Random(5);
        long start = System.nanoTime();
        for (int n = 0; n < 30 * 10; n++) {
            Rig.sleep((start + n * 1_000_000_000L / 30 - System.nanoTime()) / 1_000_000);
            client.setup(0x5000_0000_0000_0000L + n + 1, "status-check", 3_150, random.nextInt(3),
                    ("document " + n).getBytes());
        }
        Rig.sleep(18_000);
        rig.rec.say(client.summary());
        long latest = 0;
        int never = 0;
        for (long call : held) {
            Client.CallOf known = client.calls.get(call);
            if (known.state == Client.State.TOLD_OVER) {
                latest = Math.max(latest, known.changedNanos - vanished[0]);
            } else {
                never++;
            }
        }
        rig.rec.say(held.size() + " calls, the last told after " + latest / 1_000_000 + " ms, never told " + never);
        return latest <= 8_050_000_000L && never == 0;
    }
}
