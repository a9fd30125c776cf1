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
 * What a call, a told state and an event of the list cost the module with many session servers, as the daemon runs it:
 * on the first compiler tier alone. 48 calls stand and 8 are out all the time.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(value = 1, jvmArgsAppend = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m"})
public class FleetSizeBenchmark implements RoutingPolicy.Actions {

    private static final int OUT = 8;
    private static final int STANDING = 48;
    private static final double BETWEEN_MS = 15;

    private record Sent(String call, long server) {}

    /** Session servers that run. */
    @Param({"24", "300", "1024"})
    public int servers;

    private AdaptiveRoutingPolicy logic;
    private double now;
    private long calls;
    private int at;
    private final List<Sent> out = new ArrayList<>();
    private final List<Sent> standing = new ArrayList<>();

    /** Lists all servers, has each tell its lines, and brings calls to their steady number. */
    @Setup
    public void fill() {
        logic = new AdaptiveRoutingPolicy(SettingsReader.read(JsonParser.parseString("""
                {"balancers": 100, "tick-ms": 5,
                 "lanes": [{"name": "status-check", "aim-ms": 1500, "deadline-ms": 9000, "late-value": 0.25},
                           {"name": "deadline-sign", "aim-ms": 800, "deadline-ms": 6000, "importance": 6}],
                 "ceilings": {"max-attempts": 6, "cancelling": true},
                 "rules": {"cold-from": 0.28, "cold-ms": 13000, "fall-multiple": 3, "fall-ms": 1500},
                 "specifics": {"clear-wait-ms": 200, "t1-ms": 500}}""").getAsJsonObject()), 7, this);
        now = 1e12;
        logic.serversListed(now, true, lines(ServerStatus.RUNNING, servers));
        for (int i = 0; i < servers; i++) {
            logic.loadReported(now, i, report());
        }
        for (int i = 0; i < STANDING * 20; i++) {
            call();
        }
    }

    private static RoutingPolicy.LoadReport report() {
        return new RoutingPolicy.LoadReport(900, 1000, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    private static List<RoutingPolicy.ListedServer> lines(ServerStatus mode, int count) {
        List<RoutingPolicy.ListedServer> lines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            lines.add(new RoutingPolicy.ListedServer(i, i, mode, 0, 1));
        }
        return lines;
    }

    /** A call from its arrival to its end: three events of the module. */
    @Benchmark
    public void call() {
        now += BETWEEN_MS;
        logic.requestArrived(now,
                new RoutingPolicy.Request(Long.toString(++calls), (int) (calls % 16 / 15), "n" + calls, 3000,
                        (int) (calls * 37 % servers), false));
        if (out.size() > OUT) {
            Sent first = out.remove(0);
            logic.callEstablished(now, first.call(), 0, first.server(), 50);
            standing.add(first);
        }
        if (standing.size() > STANDING) {
            Sent first = standing.remove(0);
            logic.attemptEnded(now,
                    new RoutingPolicy.AttemptResult(first.call(), 0, first.server(), Outcome.COMPLETED, true, 0, 0,
                            null));
        }
    }

    /** A server tells its lines: each does so once a second on each of its connections. */
    @Benchmark
    public void told() {
        now += 1;
        logic.loadReported(now, at++ % servers, report());
    }

    /** An event of the bus that changes one server, and the one that changes it back. */
    @Benchmark
    public void listEventOfOne() {
        now += 1;
        logic.serversListed(now, false, lines(ServerStatus.DRAINING, 1));
        logic.serversListed(now, false, lines(ServerStatus.RUNNING, 1));
    }

    /** The same for all servers at once. */
    @Benchmark
    public void listEventOfAll() {
        now += 1;
        logic.serversListed(now, false, lines(ServerStatus.DRAINING, servers));
        logic.serversListed(now, false, lines(ServerStatus.RUNNING, servers));
    }

    @Override
    public void send(String call, long server, double giveUpAfterMs) {
        out.add(new Sent(call, server));
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
