import java.util.List;

/** The event bus is down for a while, in which a session server begins to drain: is anything new sent there? */
public final class DrainUnheard {

    /** As on the day herd. */
    private static final long OUTAGE_MS = 8_000;
    /** Told 2 s after a break (LATER); then 1 s of grace, and 50 ms by which each limit is longer on sockets. */
    private static final long LIMIT_MS = 3_050;
    /** The longest drain in the bench's table of troubles. */
    private static final long DRAIN_MS = 6_000;

    public static void main(String[] args) {
        Rig.main(args, rig -> {
            PlatSite site = new PlatSite(rig, 3, 20, 4_000);
            site.startController();
            Rig.sleep(500);
            PlatClient client = new PlatClient(rig, "office-1", site.port);
            Thread calls = new Thread(() -> {
                try {
                    client.offer(40, 26_000);
                } catch (InterruptedException e) {
                    rig.note("interrupted");
                }
            });
            calls.start();
            Rig.sleep(8_000);
            long brokenAt = System.currentTimeMillis();
            if (rig.trouble) {
                rig.note("the event bus is down");
                site.bus.down();
            }
            Rig.sleep(300);
            PlatSite.Server draining = site.servers.get(0);
            long at = System.currentTimeMillis();
            rig.note("s-00000001 begins to drain");
            site.bus.change(new Bus.Server(draining.id, draining.port, 1, 0, 0));
            Rig.sleep(OUTAGE_MS);
            if (rig.trouble) {
                rig.note("the event bus is up");
                site.bus.up();
            }
            calls.join();
            Rig.sleep(4_000);
            client.over();
            client.dump();
            site.dump();
            List<Long> late = draining.lines.stream().filter(said -> said.event().equals("setup")
                    && said.at() - brokenAt > LIMIT_MS && said.at() - at <= DRAIN_MS).map(said -> said.at() - brokenAt).toList();
            long within = draining.lines.stream().filter(said -> said.event().equals("setup") && said.at() > at).count();
            rig.note("set-ups at s-00000001 after it began to drain: " + within + "; later than " + LIMIT_MS
                    + " ms after the break, within a drain of " + DRAIN_MS + " ms: " + late);
            return late.isEmpty() ? null : late.size() + " set-ups went to a draining server later than " + LIMIT_MS
                    + " ms after the event bus had broken off";
        });
    }
}
