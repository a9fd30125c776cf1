import java.io.IOException;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.ArrayList;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A bad client sends set-ups whose called number is unreadable. Do the usual clients, on connections of their own, still get
 * an answer to every call?
 */
public final class BadNumber {

    private static final long DAY_MS = 45_000;
    /** Two servers of 33 ms a set-up take 60 calls/s: 59 are 98% of that, within the 85 to 100% of most days. */
    private static final double CALLS_PER_SECOND = 59;
    private static final long BAD_GAP_MS = 40;

    public static void main(String[] args) {
        Rig.main(args, rig -> {
            PlatSite site = new PlatSite(rig, 2, 33, 4_000);
            site.startController();
            Rig.sleep(500);
            List<PlatClient> clients = new ArrayList<>();
            List<Thread> threads = new ArrayList<>();
            for (int i = 1; i <= 3; i++) {
                PlatClient client = new PlatClient(rig, "office-" + i, site.port);
                clients.add(client);
                threads.add(new Thread(() -> {
                    try {
                        client.offer(CALLS_PER_SECOND / 3, DAY_MS);
                    } catch (InterruptedException e) {
                        rig.note("interrupted");
                    }
                }));
            }
            threads.forEach(Thread::start);
            long end = System.currentTimeMillis() + DAY_MS;
            int sent = 0;
            while (System.currentTimeMillis() < end) {
                Rig.sleep(BAD_GAP_MS);
                if (rig.trouble) {
                    sent += bad(site.port) ? 1 : 0;
                }
            }
            for (Thread thread : threads) {
                thread.join();
            }
            Rig.sleep(4_000);
            clients.forEach(PlatClient::over);
            List<PlatClient.Call> all = clients.stream().flatMap(client -> client.calls.stream()).toList();
            rig.note("bad set-ups sent: " + sent + "; calls of the usual clients: " + all.size() + ", stood "
                    + all.stream().filter(call -> call.stood).count() + ", refused or failed "
                    + all.stream().filter(call -> call.cause >= 0).count() + ", given up "
                    + all.stream().filter(call -> call.gaveUp).count());
            clients.forEach(PlatClient::dump);
            site.dump();
            long lost = all.stream().filter(call -> call.lostAt > 0).count();
            rig.note("connections of usual clients that the call controller closed with calls open: "
                    + clients.stream().mapToInt(client -> client.closedWithCalls).sum());
            rig.note("set-ups at the servers: " + site.servers.stream().map(server -> server.count("setup")).toList());
            return lost == 0 ? null : lost + " calls of usual clients were taken and their connection was closed with no answer";
        });
    }

    private static boolean bad(int port) {
        try {
            Socket socket = Rig.connect(port);
            byte[] number = new byte[6000];
            Arrays.fill(number, (byte) 0xff);
            Plat.write(socket, Plat.Msg.of(Plat.SETUP, ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE))
                    .with(129, "status-check").with(132, "3000").with(141, number)
                    .with(144, "dest:0;width:1;via:-1").with(174, "sign"));
            Thread reader = new Thread(() -> {
                try (socket) {
                    socket.setSoTimeout(6000);
                    socket.getInputStream().readNBytes(1 << 20);
                } catch (IOException e) {
                    // It is turned away, and comes again.
                }
            });
            reader.setDaemon(true);
            reader.start();
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
