import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/** The call controller stands still for a second; then the answers of its session servers are there all at once. */
final class CaseStall {

    private static final int SERVERS = 4;
    /** Calls a second: the rate grows from the first to the second in the first seconds, then stays. */
    private static final int FIRST_RATE = 20;
    private static final int RATE = 160;
    private static final int GROWS_FOR = 16_000;
    private static final int LOAD_MILLIS = 25_000;
    private static final int STALLS_AT = 21_000;
    private static final int STALLS_FOR = 1_000;
    private static final int ANSWER_MILLIS = 200;
    /** With it an answer is of 11,014 bytes; the protocol allows 16 KiB. */
    private static final int DESCRIPTION_BYTES = 11_000;
    /** Set-ups that cross the end of their connection do not count. */
    private static final long CROSSING_NANOS = 50_000_000;

    public static void main(String[] args) throws Exception {
        Rig.main(args, CaseStall::run);
    }

    private static boolean run(Rig rig) throws Exception {
        List<Bus.Entry> whole = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            SessionServer server = new SessionServer(rig, 0x00c40000 + i, Rig.freePort(), ANSWER_MILLIS, 300, call -> {
                byte[] description = new byte[DESCRIPTION_BYTES];
                Arrays.fill(description, (byte) ('a' + call % 26));
                return description;
            });
            server.start();
            whole.add(new Bus.Entry(server, Bus.READY, i % 3, 0));
        }
        Bus bus = new Bus(rig, whole);
        int port = Rig.freePort();
        Program controller = rig.startController("n1", port, Config.write(rig, "n1", port, bus));
        controller.await("serves on", 20_000);
        Client.awaitTest(port, 10_000);
        Client client = new Client(rig, "caller", port);
        client.connect();
        if (rig.hasTrouble) {
            Rig.daemon("stall", () -> {
                Rig.sleep(STALLS_AT);
                controller.signal("STOP");
                Rig.sleep(STALLS_FOR);
                controller.signal("CONT");
            });
        }
        Random random = new Random(5);
        long start = System.nanoTime();
        long next = start;
        for (int n = 0; next < start + LOAD_MILLIS * 1_000_000L && client.isOpen; n++) {
            Rig.sleep((next - System.nanoTime()) / 1_000_000);
            double grown = Math.min(1, (next - start) / 1e6 / GROWS_FOR);
            next += (long) (1e9 / (FIRST_RATE + grown * (RATE - FIRST_RATE)));
            boolean isUrgent = random.nextInt(100) < 6;
            long id = 0x5000_0000_0000_0000L + n + 1;
            long hold = isUrgent ? 3_800 + random.nextInt(1_200) : 7_500 + random.nextInt(2_500);
            Client.CallOf call = client.setup(id, isUrgent ? "deadline-sign" : "status-check", isUrgent ? 2_100 : 3_150,
                    random.nextInt(SERVERS), ("document " + n).getBytes());
            rig.after(hold, () -> client.release(call));
        }
        Rig.sleep(4_000);
        rig.rec.say(client.summary());
        Rig.require(controller.isAlive(), "the call controller is gone");
        int lost = 0;
        for (Client.CallOf call : List.copyOf(client.calls.values())) {
            boolean hasEnded = call.state == Client.State.LOST;
            long waited = hasEnded ? call.changedNanos - call.sentNanos : 0;
            // Not those that crossed the end of the connection, and not those whose caller had stopped waiting.
            if (call.state == Client.State.SENT && !hasEnded && client.isOpen
                    || hasEnded && waited > CROSSING_NANOS && waited < call.waitMillis * 1_000_000L) {
                lost++;
                rig.rec.line("never answered: " + SessionServer.hex(call.id) + ", taken "
                        + waited / 1_000_000 + " ms before the call controller ended the connection");
            }
        }
        rig.rec.say(lost + " set-ups were taken and never answered");
        return lost == 0;
    }
}
