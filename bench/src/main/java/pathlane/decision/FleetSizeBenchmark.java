package pathlane.decision;

import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import pathlane.config.SettingsReader;
import pathlane.decision.policy.AdaptiveRoutingPolicy;

/**
 * Measures the cost of a call, a load report and a server list event in the routing policy with many session servers, with
 * the daemon's JVM setting: only the first compiler tier. 48 calls are established and 8 are in progress all the time.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(value = 1, jvmArgsAppend = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m"})
public class FleetSizeBenchmark implements RoutingPolicy.Actions {

    private static final int PENDING_CALLS = 8;
    private static final int ESTABLISHED_CALLS = 48;
    private static final double ARRIVAL_INTERVAL_MS = 15;

    private record Attempt(String call, long server) {}

    /** Number of running session servers. */
    @Param({"24", "300", "1024"})
    public int servers;

    private AdaptiveRoutingPolicy policy;
    private double now;
    private long calls;
    private int nextServer;
    private final List<Attempt> pending = new ArrayList<>();
    private final List<Attempt> established = new ArrayList<>();

    /** Lists all servers, has each report its load, and brings the number of calls to its steady state. */
    @Setup
    public void fill() {
        policy = new AdaptiveRoutingPolicy(SettingsReader.read(JsonParser.parseString("""
                {"balancers": 100, "tick-ms": 5,
                 "lanes": [{"name": "status-check", "aim-ms": 1500, "deadline-ms": 9000, "late-value": 0.25},
                           {"name": "deadline-sign", "aim-ms": 800, "deadline-ms": 6000, "importance": 6}],
                 "ceilings": {"max-attempts": 6, "cancelling": true},
                 "rules": {"cold-from": 0.28, "cold-ms": 13000, "fall-multiple": 3, "fall-ms": 1500},
                 "specifics": {"clear-wait-ms": 200, "t1-ms": 500}}""").getAsJsonObject()), 7, this);
        now = 1e12;
        policy.serversListed(now, true, listedServers(ServerStatus.RUNNING, servers));
        for (int i = 0; i < servers; i++) {
            policy.loadReported(now, i, report());
        }
        for (int i = 0; i < ESTABLISHED_CALLS * 20; i++) {
            call();
        }
    }

    private static RoutingPolicy.LoadReport report() {
        return new RoutingPolicy.LoadReport(900, 1000, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    private static List<RoutingPolicy.ListedServer> listedServers(ServerStatus status, int count) {
        List<RoutingPolicy.ListedServer> listed = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            listed.add(new RoutingPolicy.ListedServer(i, i, status, 0, 1));
        }
        return listed;
    }

    /** A call from its arrival to its end: three events of the policy. */
    @Benchmark
    public void call() {
        now += ARRIVAL_INTERVAL_MS;
        policy.requestArrived(now,
                new RoutingPolicy.Request(Long.toString(++calls), (int) (calls % 16 / 15), "n" + calls, 3000,
                        (int) (calls * 37 % servers), false));
        if (pending.size() > PENDING_CALLS) {
            Attempt first = pending.remove(0);
            policy.callEstablished(now, first.call(), 0, first.server(), 50);
            established.add(first);
        }
        if (established.size() > ESTABLISHED_CALLS) {
            Attempt first = established.remove(0);
            policy.attemptEnded(now,
                    new RoutingPolicy.AttemptResult(first.call(), 0, first.server(), Outcome.COMPLETED, true, 0, 0,
                            null));
        }
    }

    /** A load report of one server; each server sends one a second on each of its connections. */
    @Benchmark
    public void loadReport() {
        now += 1;
        policy.loadReported(now, nextServer++ % servers, report());
    }

    /** A server list event that changes one server, and one that reverts the change. */
    @Benchmark
    public void listEventOfOne() {
        now += 1;
        policy.serversListed(now, false, listedServers(ServerStatus.DRAINING, 1));
        policy.serversListed(now, false, listedServers(ServerStatus.RUNNING, 1));
    }

    /** A server list event that changes all servers, and one that reverts the change. */
    @Benchmark
    public void listEventOfAll() {
        now += 1;
        policy.serversListed(now, false, listedServers(ServerStatus.DRAINING, servers));
        policy.serversListed(now, false, listedServers(ServerStatus.RUNNING, servers));
    }

    @Override
    public void send(String call, long server, double giveUpAfterMs) {
        pending.add(new Attempt(call, server));
    }

    @Override
    public void reject(String call, double adviseMs) {}

    @Override
    public void fail(String call) {}

    @Override
    public void cancel(String call, int attempt) {}

    @Override
    public void scheduleTimer(double delayMs) {}

    @Override
    public void requestServerList() {}
}
