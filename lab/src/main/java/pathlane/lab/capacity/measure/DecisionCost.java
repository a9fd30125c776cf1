package pathlane.lab.capacity.measure;

import com.google.gson.JsonParser;
import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import pathlane.config.Settings;
import pathlane.config.SettingsReader;
import pathlane.decision.Outcome;
import pathlane.decision.RoutingPolicy;
import pathlane.decision.ServerStatus;
import pathlane.decision.policy.AdaptiveRoutingPolicy;

/**
 * Measures the cost of the decision module alone by the number of servers in its list: the decision of a call, a server's
 * capacity report, an event that changes one server, and a complete list. 48 calls are established and 8 attempts are
 * pending all the time. One thread, no sockets; run on the first compiler tier, as the daemon is.
 */
final class DecisionCost implements RoutingPolicy.Actions {

    static final int[] SIZES = {3, 30, 300, 3_000, 26_000};

    private static final int PENDING_ATTEMPTS = 8;
    private static final int ESTABLISHED_CALLS = 48;
    /** Number of servers that report: a report's cost grows with the list, so reports of all would take minutes. */
    private static final int REPORTING_SERVERS = 300;
    private static final double ARRIVAL_INTERVAL_MS = 15;
    private static final double START_MS = 1e12;
    private static final Duration WARM_UP = Duration.ofMillis(300);
    private static final Duration MEASUREMENT_TIME = Duration.ofMillis(400);
    private static final int MIN_ROUNDS = 5;
    private static final double NANOS_IN_MICRO = 1e3;
    private static final double NANOS_IN_MILLI = 1e6;
    private static final String SETTINGS = """
            {"balancers": 100, "tick-ms": 5,
             "lanes": [{"name": "status-check", "aim-ms": 1500, "deadline-ms": 9000, "late-value": 0.25},
                       {"name": "deadline-sign", "aim-ms": 800, "deadline-ms": 6000, "importance": 6}],
             "ceilings": {"max-attempts": 6, "cancelling": true},
             "rules": {"cold-from": 0.28, "cold-ms": 13000, "fall-multiple": 3, "fall-ms": 1500},
             "specifics": {"clear-wait-ms": 200, "t1-ms": 500}}""";

    private record Sent(String call, long server) {}

    private final int servers;
    private final AdaptiveRoutingPolicy policy;
    private final Deque<Sent> pending = new ArrayDeque<>();
    private final Deque<Sent> established = new ArrayDeque<>();
    private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private double now = START_MS;
    private long calls;
    private long sends;
    private int reporting;

    private DecisionCost(int servers) {
        this.servers = servers;
        this.policy = new AdaptiveRoutingPolicy(settings(), 7, this);
        policy.serversListed(now, true, listedServers(ServerStatus.RUNNING, servers));
        for (int i = 0; i < Math.min(servers, REPORTING_SERVERS); i++) {
            policy.loadReported(now, i, report());
        }
        for (int i = 0; i < ESTABLISHED_CALLS + 2 * PENDING_ATTEMPTS; i++) {
            arrive();
            finishOldest();
        }
    }

    static Settings settings() {
        return SettingsReader.read(JsonParser.parseString(SETTINGS).getAsJsonObject());
    }

    private static RoutingPolicy.LoadReport report() {
        return new RoutingPolicy.LoadReport(90_000, 100_000, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    static List<RoutingPolicy.ListedServer> listedServers(ServerStatus status, int count) {
        List<RoutingPolicy.ListedServer> listedServers = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            listedServers.add(new RoutingPolicy.ListedServer(i, i, status, 0, 1));
        }
        return listedServers;
    }

    /** Measures all sizes, with a new module for each repetition. */
    static void measure(Recorder recorder, int repetitions) {
        for (int repetition = 1; repetition <= repetitions; repetition++) {
            for (int size : SIZES) {
                DecisionCost cost = new DecisionCost(size);
                cost.measureDecisions(recorder, repetition);
                cost.measureUpdates(recorder, repetition);
            }
        }
    }

    private void measureDecisions(Recorder recorder, int repetition) {
        decide(WARM_UP);
        long sendsBefore = sends;
        long callsBefore = calls;
        Decided decided = decide(MEASUREMENT_TIME);
        if (sends - sendsBefore < calls - callsBefore) {
            throw new IllegalStateException("only " + (sends - sendsBefore) + " of " + (calls - callsBefore)
                    + " calls were sent at once with " + servers + " servers");
        }
        recorder.record("decision-time-us", servers, repetition, decided.arrivalNanos() / NANOS_IN_MICRO);
        recorder.record("decision-allocation-bytes", servers, repetition, decided.arrivalBytes());
        recorder.record("call-time-us", servers, repetition, decided.callNanos() / NANOS_IN_MICRO);
    }

    /** Means over the decided calls: of the arrival alone, and of all three events of a call. */
    private record Decided(double arrivalNanos, double arrivalBytes, double callNanos) {}

    private Decided decide(Duration minTime) {
        long arrivalNanos = 0;
        long arrivalBytes = 0;
        int rounds = 0;
        long start = System.nanoTime();
        long end = start;
        while (end - start < minTime.toNanos() || rounds < MIN_ROUNDS) {
            long bytes = threads.getCurrentThreadAllocatedBytes();
            long before = System.nanoTime();
            arrive();
            arrivalNanos += System.nanoTime() - before;
            arrivalBytes += threads.getCurrentThreadAllocatedBytes() - bytes;
            finishOldest();
            rounds++;
            end = System.nanoTime();
        }
        return new Decided((double) arrivalNanos / rounds, (double) arrivalBytes / rounds,
                (double) (end - start) / rounds);
    }

    private void arrive() {
        now += ARRIVAL_INTERVAL_MS;
        policy.requestArrived(now,
                new RoutingPolicy.Request(Long.toString(++calls), (int) (calls % 16 / 15), "n" + calls, 3000,
                        (int) (calls * 37 % servers), false));
    }

    private void finishOldest() {
        if (pending.size() > Math.min(PENDING_ATTEMPTS, servers)) {
            Sent first = pending.removeFirst();
            policy.callEstablished(now, first.call(), 0, first.server(), 50);
            established.addLast(first);
        }
        if (established.size() > ESTABLISHED_CALLS) {
            Sent first = established.removeFirst();
            policy.attemptEnded(now,
                    new RoutingPolicy.AttemptResult(first.call(), 0, first.server(), Outcome.COMPLETED, true, 0, 0, null));
        }
    }

    private void measureUpdates(Recorder recorder, int repetition) {
        recorder.record("module-capacity-report-us", servers, repetition, mean(this::reportNext) / NANOS_IN_MICRO);
        recorder.record("module-event-us", servers, repetition, mean(this::changeOne) / NANOS_IN_MICRO);
        recorder.record("module-whole-list-ms", servers, repetition, mean(this::replaceList) / NANOS_IN_MILLI);
    }

    private void reportNext() {
        now += 1;
        policy.loadReported(now, reporting++ % servers, report());
    }

    private void changeOne() {
        now += 1;
        policy.serversListed(now, false, List.of(new RoutingPolicy.ListedServer(0, 0,
                reporting++ % 2 == 0 ? ServerStatus.DRAINING : ServerStatus.RUNNING, 0, 1)));
    }

    private void replaceList() {
        now += 1;
        policy.serversListed(now, true, listedServers(ServerStatus.RUNNING, servers));
    }

    /** Returns the mean nanoseconds of one run, after a warm-up. */
    private static double mean(Runnable task) {
        timed(task, WARM_UP.dividedBy(2));
        return timed(task, MEASUREMENT_TIME.dividedBy(2));
    }

    private static double timed(Runnable task, Duration minTime) {
        int rounds = 0;
        long start = System.nanoTime();
        long end = start;
        while (end - start < minTime.toNanos() || rounds < MIN_ROUNDS) {
            task.run();
            rounds++;
            end = System.nanoTime();
        }
        return (double) (end - start) / rounds;
    }

    @Override
    public void send(String call, long server, double giveUpAfterMs) {
        sends++;
        pending.addLast(new Sent(call, server));
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
