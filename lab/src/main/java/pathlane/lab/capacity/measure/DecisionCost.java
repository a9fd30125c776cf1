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
 * What the decision module alone costs by the number of servers in its list: the decision of a call, a server's capacity
 * report, an event that changes one server, and the whole list. 48 calls stand and 8 are out all the time. One thread, no
 * sockets; run on the first compiler tier, as the daemon is.
 */
final class DecisionCost implements RoutingPolicy.Actions {

    static final int[] SIZES = {3, 30, 300, 3_000, 26_000};

    private static final int OUT = 8;
    private static final int STANDING = 48;
    /** Servers that have reported: each report costs as much as the list is long, so that all would take minutes. */
    private static final int REPORTING = 300;
    private static final double BETWEEN_MS = 15;
    private static final double START_MS = 1e12;
    private static final Duration WARM_UP = Duration.ofMillis(300);
    private static final Duration MEASURED = Duration.ofMillis(400);
    private static final int LEAST_ROUNDS = 5;
    private static final double MICROS = 1e3;
    private static final double MILLIS = 1e6;
    private static final String SETTINGS = """
            {"balancers": 100, "tick-ms": 5,
             "lanes": [{"name": "status-check", "aim-ms": 1500, "deadline-ms": 9000, "late-value": 0.25},
                       {"name": "deadline-sign", "aim-ms": 800, "deadline-ms": 6000, "importance": 6}],
             "ceilings": {"max-attempts": 6, "cancelling": true},
             "rules": {"cold-from": 0.28, "cold-ms": 13000, "fall-multiple": 3, "fall-ms": 1500},
             "specifics": {"clear-wait-ms": 200, "t1-ms": 500}}""";

    private record Sent(String call, long server) {}

    private final int servers;
    private final AdaptiveRoutingPolicy logic;
    private final Deque<Sent> out = new ArrayDeque<>();
    private final Deque<Sent> standing = new ArrayDeque<>();
    private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private double now = START_MS;
    private long calls;
    private long sends;
    private int reporting;

    private DecisionCost(int servers) {
        this.servers = servers;
        this.logic = new AdaptiveRoutingPolicy(settings(), 7, this);
        logic.serversListed(now, true, lines(ServerStatus.RUNNING, servers));
        for (int i = 0; i < Math.min(servers, REPORTING); i++) {
            logic.loadReported(now, i, report());
        }
        for (int i = 0; i < STANDING + 2 * OUT; i++) {
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

    static List<RoutingPolicy.ListedServer> lines(ServerStatus mode, int count) {
        List<RoutingPolicy.ListedServer> lines = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            lines.add(new RoutingPolicy.ListedServer(i, i, mode, 0, 1));
        }
        return lines;
    }

    /** Measures all sizes; each repetition has a module of its own. */
    static void measure(Recorder recorder, int repetitions) {
        for (int repetition = 1; repetition <= repetitions; repetition++) {
            for (int size : SIZES) {
                DecisionCost cost = new DecisionCost(size);
                cost.decisions(recorder, repetition);
                cost.other(recorder, repetition);
            }
        }
    }

    private void decisions(Recorder recorder, int repetition) {
        decide(WARM_UP);
        long sendsBefore = sends;
        long callsBefore = calls;
        Decided decided = decide(MEASURED);
        if (sends - sendsBefore < calls - callsBefore) {
            throw new IllegalStateException("only " + (sends - sendsBefore) + " of " + (calls - callsBefore)
                    + " calls were sent at once with " + servers + " servers");
        }
        recorder.record("decision-time-us", servers, repetition, decided.arrivalNanos() / MICROS);
        recorder.record("decision-allocation-bytes", servers, repetition, decided.arrivalBytes());
        recorder.record("call-time-us", servers, repetition, decided.callNanos() / MICROS);
    }

    /** Means over the calls that were decided: of the arrival alone, and of all three events of a call. */
    private record Decided(double arrivalNanos, double arrivalBytes, double callNanos) {}

    private Decided decide(Duration most) {
        long arrivalNanos = 0;
        long arrivalBytes = 0;
        int rounds = 0;
        long begun = System.nanoTime();
        long ended = begun;
        while (ended - begun < most.toNanos() || rounds < LEAST_ROUNDS) {
            long bytes = threads.getCurrentThreadAllocatedBytes();
            long before = System.nanoTime();
            arrive();
            arrivalNanos += System.nanoTime() - before;
            arrivalBytes += threads.getCurrentThreadAllocatedBytes() - bytes;
            finishOldest();
            rounds++;
            ended = System.nanoTime();
        }
        return new Decided((double) arrivalNanos / rounds, (double) arrivalBytes / rounds,
                (double) (ended - begun) / rounds);
    }

    private void arrive() {
        now += BETWEEN_MS;
        logic.requestArrived(now,
                new RoutingPolicy.Request(Long.toString(++calls), (int) (calls % 16 / 15), "n" + calls, 3000,
                        (int) (calls * 37 % servers), false));
    }

    private void finishOldest() {
        if (out.size() > Math.min(OUT, servers)) {
            Sent first = out.removeFirst();
            logic.callEstablished(now, first.call(), 0, first.server(), 50);
            standing.addLast(first);
        }
        if (standing.size() > STANDING) {
            Sent first = standing.removeFirst();
            logic.attemptEnded(now,
                    new RoutingPolicy.AttemptResult(first.call(), 0, first.server(), Outcome.COMPLETED, true, 0, 0, null));
        }
    }

    private void other(Recorder recorder, int repetition) {
        recorder.record("module-capacity-report-us", servers, repetition, mean(this::reportNext) / MICROS);
        recorder.record("module-event-us", servers, repetition, mean(this::changeOne) / MICROS);
        recorder.record("module-whole-list-ms", servers, repetition, mean(this::replaceList) / MILLIS);
    }

    private void reportNext() {
        now += 1;
        logic.loadReported(now, reporting++ % servers, report());
    }

    private void changeOne() {
        now += 1;
        logic.serversListed(now, false, List.of(new RoutingPolicy.ListedServer(0, 0,
                reporting++ % 2 == 0 ? ServerStatus.DRAINING : ServerStatus.RUNNING, 0, 1)));
    }

    private void replaceList() {
        now += 1;
        logic.serversListed(now, true, lines(ServerStatus.RUNNING, servers));
    }

    /** Nanoseconds of one run, after a warm-up. */
    private static double mean(Runnable task) {
        timed(task, WARM_UP.dividedBy(2));
        return timed(task, MEASURED.dividedBy(2));
    }

    private static double timed(Runnable task, Duration most) {
        int rounds = 0;
        long begun = System.nanoTime();
        long ended = begun;
        while (ended - begun < most.toNanos() || rounds < LEAST_ROUNDS) {
            task.run();
            rounds++;
            ended = System.nanoTime();
        }
        return (double) (ended - begun) / rounds;
    }

    @Override
    public void send(String call, long server, double giveUpAfterMs) {
        sends++;
        out.addLast(new Sent(call, server));
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
