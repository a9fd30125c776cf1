import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;

/** A call controller is killed and started again; callers end the calls that stood before over the new process. */
final class ProbeKill {

    private static final int RATE = 190;
    private static final int CALLERS = 1;
    private static final int LOAD_MILLIS = 11_000;

    public static void main(String[] args) throws Exception {
        Rig.main(args, ProbeKill::run);
    }

    private static boolean run(Rig rig) throws Exception {
        List<SessionServer> servers = new ArrayList<>();
        List<Bus.Entry> whole = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            SessionServer server = new SessionServer(rig, 0x00c40000 + i, Rig.freePort(), 20, 300,
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
        List<Client> clients = new ArrayList<>();
        Queue<Runnable> late = new ArrayDeque<>();
        for (int i = 0; i < CALLERS; i++) {
            Client client = new Client(rig, "caller-" + i, port);
            client.connect();
            clients.add(client);
        }
        Random random = new Random(5);
        long start = System.nanoTime();
        for (int n = 0; n < RATE * LOAD_MILLIS / 1000; n++) {
            Rig.sleep((start + n * 1_000_000_000L / RATE - System.nanoTime()) / 1_000_000);
            boolean isUrgent = random.nextInt(100) < 6;
            long id = 0x5000_0000_0000_0000L + n + 1;
            long hold = isUrgent ? 3_800 + random.nextInt(1_200) : 7_500 + random.nextInt(2_500);
            Client client = clients.get(n % CALLERS);
            Client.CallOf call = client.setup(id, isUrgent ? "deadline-sign" : "status-check", isUrgent ? 2_100 : 3_150,
                    random.nextInt(3), ("document " + n).getBytes());
            rig.after(hold, () -> {
                synchronized (late) {
                    if (!client.release(call)) {
                        late.add(() -> client.release(call));
                    }
                }
            });
        }
        Rig.sleep(500);
        for (SessionServer server : servers) {
            rig.rec.say(server.name + " holds " + server.standing().size() + " calls");
        }
        if (rig.hasTrouble) {
            controller.kill();
            rig.rec.say("n1 was killed");
            Rig.sleep(500);
            Program again = rig.startController("n1", port, Config.write(rig, "n1", port, bus));
            again.await("serves on", 20_000);
            Client.awaitTest(port, 10_000);
            for (Client client : clients) {
                client.connect();
            }
            synchronized (late) {
                rig.rec.say(late.size() + " calls ended meanwhile");
                late.forEach(Runnable::run);
                late.clear();
            }
        }
        Rig.sleep(10_000 + 15_000);
        clients.forEach(client -> rig.rec.say(client.summary()));
        int broken = 0;
        for (SessionServer server : servers) {
            rig.rec.say(server.name + ": " + server.setups + " set-ups, " + server.releases + " releases, "
                    + server.standing().size() + " calls still stand");
            broken += server.standing().size();
        }
        rig.rec.say(broken + " calls were left standing");
        return broken == 0;
    }
}
