package pathlane.lab.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pathlane.lab.rig.DiscoveryRig.ClientShape;
import pathlane.lab.rig.DiscoveryRig.RelayShape;
import pathlane.lab.rig.DiscoveryRig.Shape;

/**
 * Discovery with real processes and faults between them. Each scenario waits for events, never for a fixed time; at its end
 * every client must have the endpoints that the event bus has published, with the same digests, and must have seen no
 * revision go backwards and no endpoint removed that is not gone. {@code -Dscenario=NAME} runs one scenario alone,
 * {@code -Dseed=N} uses another seed.
 */
class DiscoveryScenarioTest {

    private static final int PARALLEL_RUNS = 3;
    private static final String ACCOUNTS = "accounts";
    private static final String PAYMENTS = "payments";
    private static final List<String> SERVICES = List.of(ACCOUNTS, PAYMENTS);
    private static final String FAST_BOOKMARKS = "bookmark-ms = 100\n";
    /** So small that a subscriber that reads slowly falls behind immediately. */
    private static final String SMALL_WINDOW = FAST_BOOKMARKS + "unacknowledged-bytes = 4096\nupdate-bytes = 4096\n";

    /** Bytes that a publisher without data sends to a client over a few connections, each of which the client closes. */
    private static final long BYTES_OF_SEVERAL_CONNECTIONS = 600;

    @TempDir
    Path folder;

    /** The steps on a started test bed. */
    private interface Script {
        void run(DiscoveryRig rig) throws InterruptedException;
    }

    private record Scenario(Shape shape, Script script) {}

    private static ClientShape client(String name, String zone, String region, String... publishers) {
        return new ClientShape(name, zone, region, List.of(publishers), SERVICES);
    }

    private static RelayShape relay(String name, String zone, String region, String... upstreams) {
        return new RelayShape(name, zone, region, List.of(upstreams));
    }

    /** Two relays in two zones of one region, and three clients in each zone that may use both. */
    private static Shape twoRelays(String limits) {
        List<ClientShape> clients = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            clients.add(client("a" + i, "za", "r", "ra", "rb"));
            clients.add(client("b" + i, "zb", "r", "ra", "rb"));
        }
        return new Shape(SERVICES, List.of(relay("ra", "za", "r", "s"), relay("rb", "zb", "r", "s")), clients, limits);
    }

    /** A second region whose relay subscribes to the relay of the first. */
    private static Shape twoRegions() {
        return new Shape(SERVICES, List.of(relay("ra", "za", "near", "s"), relay("rf", "zf", "far", "ra")),
                List.of(client("a1", "za", "near", "ra"), client("f1", "zf", "far", "rf"), client("f2", "zf", "far", "rf")),
                FAST_BOOKMARKS);
    }

    private static final Map<String, Scenario> SCENARIOS = new TreeMap<>(Map.of(
            "a relay is killed and restarts", new Scenario(twoRelays(FAST_BOOKMARKS), rig -> {
                List<Long> servers = rig.addServers(ACCOUNTS, 20);
                rig.clients().awaitAgreement();
                rig.clients().awaitPublisher("a1", "ra");
                rig.kill("ra");
                rig.removeServers(ACCOUNTS, servers.subList(0, 5));
                rig.clients().awaitPublisher("a1", "rb");
                rig.drainServers(ACCOUNTS, servers.subList(5, 8));
                rig.clients().awaitAgreement();
                rig.start("ra");
                rig.addServers(PAYMENTS, 3);
                rig.clients().awaitPublisher("a1", "ra");
            }),
            "a relay is stopped and resumes", new Scenario(twoRelays(FAST_BOOKMARKS), rig -> {
                List<Long> servers = rig.addServers(ACCOUNTS, 20);
                rig.clients().awaitAgreement();
                rig.clients().awaitPublisher("a1", "ra");
                rig.stop("ra");
                rig.removeServers(ACCOUNTS, servers.subList(0, 5));
                rig.clients().awaitPublisher("a1", "rb");
                rig.clients().awaitAgreement();
                rig.addServers(PAYMENTS, 3);
                rig.resume("ra");
                rig.clients().awaitPublisher("a1", "ra");
            }),
            "links are half open", new Scenario(twoRelays(FAST_BOOKMARKS), rig -> {
                List<Long> servers = rig.addServers(ACCOUNTS, 20);
                rig.clients().awaitAgreement();
                rig.clients().awaitPublisher("a1", "ra");
                int from = rig.eventCount();
                rig.halfOpen("s", "ra");
                rig.halfOpen("rb", "b1");
                rig.removeServers(ACCOUNTS, servers.subList(0, 5));
                rig.awaitLog("ra", "publisher s is lost: SILENT", from);
                rig.clients().awaitAgreement("a1", "a2", "a3", "b1");
            }),
            "the source restarts", new Scenario(twoRelays(FAST_BOOKMARKS), rig -> {
                List<Long> servers = rig.addServers(ACCOUNTS, 20);
                rig.clients().awaitAgreement();
                rig.kill("s");
                rig.clients().awaitStale("a1");
                rig.removeServers(ACCOUNTS, servers.subList(0, 5));
                rig.addServers(PAYMENTS, 3);
                rig.start("s");
                rig.clients().awaitAgreement();
                assertEquals(2, rig.clients().state("a1", ACCOUNTS).orElseThrow().revision().epoch());
            }),
            "the source restarts before its event bus is reachable", new Scenario(twoRelays(FAST_BOOKMARKS), rig -> {
                List<Long> servers = rig.addServers(ACCOUNTS, 20);
                rig.clients().awaitAgreement();
                rig.kill("s");
                rig.clients().awaitStale("a1");
                rig.block("s", "bus");
                int from = rig.eventCount();
                rig.start("s");
                rig.awaitLog("ra", "services are watched at s, which is at revision 2.0", from);
                rig.clients().awaitMessages("a1", 5);
                assertEquals(20, rig.clients().endpoints("a1", ACCOUNTS));
                rig.removeServers(ACCOUNTS, servers.subList(0, 15));
                rig.restore("s", "bus");
            }),
            "a region is partitioned and reconnects", new Scenario(twoRegions(), rig -> {
                List<Long> servers = rig.addServers(ACCOUNTS, 20);
                rig.clients().awaitAgreement();
                rig.block("rf", "ra");
                rig.clients().awaitStale("f1");
                rig.removeServers(ACCOUNTS, servers.subList(0, 15));
                rig.clients().awaitAgreement("a1");
                assertEquals(20, rig.clients().endpoints("f1", ACCOUNTS));
                rig.restore("rf", "ra");
                rig.clients().awaitAgreement("f1", "f2");
            }),
            "a subscriber reads slowly", new Scenario(twoRelays(SMALL_WINDOW), rig -> {
                List<Long> servers = rig.addServers(ACCOUNTS, 50);
                rig.clients().awaitAgreement();
                rig.clients().awaitPublisher("a1", "ra");
                long slowBefore = rig.clients().deltas("a1");
                long promptBefore = rig.clients().deltas("a2");
                rig.delay("ra", "a1", Duration.ofSeconds(1));
                for (Long server : servers.subList(0, 20)) {
                    rig.removeServers(ACCOUNTS, List.of(server));
                    rig.addServers(ACCOUNTS, 60);
                    rig.clients().awaitAgreement("a2", "b1");
                }
                rig.restore("ra", "a1");
                rig.clients().awaitAgreement();
                long slow = rig.clients().deltas("a1") - slowBefore;
                long prompt = rig.clients().deltas("a2") - promptBefore;
                assertTrue(slow * 2 <= prompt,
                        slow + " deltas were sent to the slow client, " + prompt + " to the prompt one");
            }),
            "a relay starts empty", new Scenario(twoRelays(FAST_BOOKMARKS), rig -> {
                List<Long> servers = rig.addServers(ACCOUNTS, 20);
                rig.clients().awaitAgreement();
                rig.kill("rb");
                rig.block("rb", "s");
                rig.start("rb");
                rig.clients().awaitPublisher("a1", "ra");
                rig.kill("ra");
                rig.awaitBytes("rb", "a1", BYTES_OF_SEVERAL_CONNECTIONS);
                assertEquals(20, rig.clients().endpoints("a1", ACCOUNTS));
                rig.removeServers(ACCOUNTS, servers.subList(0, 15));
                rig.restore("rb", "s");
            })));

    @Test
    void everyClientConvergesWithoutViolations() throws Exception {
        String prefix = System.getProperty("scenario", "");
        long seed = Long.getLong("seed", 1);
        Map<String, Scenario> chosen = new TreeMap<>(SCENARIOS);
        chosen.keySet().removeIf(name -> !name.startsWith(prefix));
        assertTrue(!chosen.isEmpty(), "no scenario is named " + prefix);
        Map<String, String> violations = new ConcurrentSkipListMap<>();
        ExecutorService executor = Executors.newFixedThreadPool(PARALLEL_RUNS);
        List<Future<?>> runs = new ArrayList<>();
        chosen.forEach((name, scenario) -> runs.add(executor.submit(() -> {
            List<String> verdict = run(name, scenario, seed);
            if (!verdict.isEmpty()) {
                violations.put(name + ", seed " + seed, String.join("\n", verdict));
            }
            return null;
        })));
        for (Future<?> play : runs) {
            play.get();
        }
        executor.shutdown();
        assertEquals(Map.of(), new TreeMap<>(violations));
    }

    private List<String> run(String name, Scenario scenario, long seed) throws Exception {
        Path runFolder = Files.createDirectory(folder.resolve(name.replace(' ', '-')));
        try (DiscoveryRig rig = new DiscoveryRig(scenario.shape(), Path.of("..").toRealPath(), runFolder, seed)) {
            try {
                rig.start();
                scenario.script().run(rig);
                return rig.clearFaultsAndCheck();
            } catch (IllegalStateException | AssertionError e) {
                List<String> violations = new ArrayList<>(List.of(String.valueOf(e.getMessage())));
                violations.addAll(rig.clients().violations());
                rig.writeHistory();
                return violations;
            }
        }
    }
}
