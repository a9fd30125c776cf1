package pathlane.decision.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pathlane.config.Settings;
import pathlane.decision.Outcome;
import pathlane.decision.RoutingPolicy;
import pathlane.decision.ServerStatus;

/** A policy under test: the test advances its clock, and all actions are recorded. */
final class PolicyHarness implements RoutingPolicy.Actions {

    record Sent(double at, String call, long server, int attempt) {}

    record FinalAnswer(double at, String call, boolean isRejection) {}

    /** The remaining deadline of a request unless the test states another. */
    static final double REMAINING_MS = 3000;

    final List<Sent> sent = new ArrayList<>();
    final List<FinalAnswer> finalAnswers = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<Double> timers = new ArrayList<>();
    final Map<String, Integer> attemptCounts = new LinkedHashMap<>();
    int serverListRequests;
    double now;
    final AdaptiveRoutingPolicy policy;

    PolicyHarness(Settings settings) {
        this(settings, 7);
    }

    PolicyHarness(Settings settings, long seed) {
        policy = new AdaptiveRoutingPolicy(settings, seed, this);
    }

    static Settings.CallClass callClass(long latencyObjectiveMs, double priorityWeight) {
        return new Settings.CallClass("c" + latencyObjectiveMs, ms(latencyObjectiveMs), ms(9000), priorityWeight, 0.25, 1,
                true,
                List.of());
    }

    static Settings.Rules rules() {
        return new Settings.Rules(0.3, ms(10_000), 2, ms(1000), ms(200));
    }

    static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    static Settings settings(List<Settings.CallClass> classes, int controllerCount, int maxAttempts,
            long retransmitMs) {
        return new Settings(classes, rules(), controllerCount, maxAttempts, ms(5), ms(retransmitMs), true, false, -1,
                ms(500), ms(600_000), Duration.ZERO, java.util.Optional.empty());
    }

    /** Two classes, the second with three times the priority weight of the first; 0 for no retransmission. */
    static Settings settings(long retransmitMs) {
        return settings(List.of(callClass(1000, 1), callClass(2000, 3)), 1, 4, retransmitMs);
    }

    static RoutingPolicy.ListedServer runningServer(long server) {
        return new RoutingPolicy.ListedServer(server, (int) server, ServerStatus.RUNNING, 0, 1);
    }

    /** What the policy knows of a listed server. */
    ServerState serverState(long id) {
        return policy.cluster.servers.get(id);
    }

    void listServers(RoutingPolicy.ListedServer... entries) {
        policy.serversListed(now, true, List.of(entries));
    }

    void updateServers(RoutingPolicy.ListedServer... entries) {
        policy.serversListed(now, false, List.of(entries));
    }

    void requestCall(String id, int callClass, int preferredPool) {
        requestCall(id, callClass, preferredPool, REMAINING_MS);
    }

    void requestCall(String id, int callClass, int preferredPool, double remainingMs) {
        policy.requestArrived(now,
                new RoutingPolicy.Request(id, callClass, "n" + id, remainingMs, preferredPool, false));
    }

    void establish(Sent s) {
        policy.callEstablished(now, s.call, s.attempt, s.server, now - s.at);
    }

    void endAttempt(Sent s, Outcome outcome) {
        endAttempt(s, outcome, 0);
    }

    void endAttempt(Sent s, Outcome outcome, double retryAfterMs) {
        policy.attemptEnded(now, new RoutingPolicy.AttemptResult(s.call, s.attempt, s.server, outcome,
                outcome == Outcome.COMPLETED, now - s.at, retryAfterMs, null));
    }

    /** Advances the clock, firing each timer at its time. */
    void advanceTo(double time) {
        while (true) {
            double next = timers.stream().mapToDouble(timer -> timer).min().orElse(Double.MAX_VALUE);
            if (next > time) {
                break;
            }
            timers.remove(next);
            now = Math.max(now, next);
            policy.timerFired(now);
        }
        now = time;
    }

    /** Advances the clock without firing timers, like a stalled process; all due timers then fire late, at once. */
    void stallUntil(double time) {
        now = time;
        int due = (int) timers.stream().filter(timer -> timer <= time).count();
        timers.removeIf(timer -> timer <= time);
        for (int i = 0; i < due; i++) {
            policy.timerFired(now);
        }
    }

    Sent lastSent() {
        return sent.get(sent.size() - 1);
    }

    long countSentTo(long server) {
        return sent.stream().filter(s -> s.server == server).count();
    }

    @Override
    public void send(String call, long server, double giveUpAfterMs) {
        int attempt = attemptCounts.merge(call, 1, Integer::sum) - 1;
        sent.add(new Sent(now, call, server, attempt));
    }

    @Override
    public void reject(String call, double retryAfterMs) {
        finalAnswers.add(new FinalAnswer(now, call, true));
    }

    @Override
    public void fail(String call) {
        finalAnswers.add(new FinalAnswer(now, call, false));
    }

    @Override
    public void cancel(String call, int attempt) {
        cancelled.add(call);
    }

    @Override
    public void scheduleTimer(double delayMs) {
        timers.add(now + delayMs);
    }

    @Override
    public void requestServerList() {
        serverListRequests++;
    }
}
