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

/** A hand-driven gateway for the tests: the clock moves when the test says so, and every action is kept. */
final class PolicyHarness implements RoutingPolicy.Actions {

    record Sent(double at, String call, long server, int attempt) {}

    record Final(double at, String call, boolean refused) {}

    static final double GRACE = 3000;

    final List<Sent> sent = new ArrayList<>();
    final List<Final> finals = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<Double> timers = new ArrayList<>();
    final Map<String, Integer> attempts = new LinkedHashMap<>();
    int asked;
    double now;
    final AdaptiveRoutingPolicy policy;

    PolicyHarness(Settings settings) {
        this(settings, 7);
    }

    PolicyHarness(Settings settings, long seed) {
        policy = new AdaptiveRoutingPolicy(settings, seed, this);
    }

    static Settings.CallClass cls(long aim, double worth) {
        return new Settings.CallClass("c" + aim, ms(aim), ms(9000), worth, 0.25, 1, true, List.of());
    }

    static Settings.Rules rules() {
        return new Settings.Rules(0.3, ms(10_000), 2, ms(1000), ms(200));
    }

    static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    static Settings settings(List<Settings.CallClass> classes, int balancers, int attempts, long repeatMs) {
        return new Settings(classes, rules(), balancers, attempts, ms(5), ms(repeatMs), true, false, -1,
                ms(500), ms(600_000), Duration.ZERO, java.util.Optional.empty());
    }

    /** Two classes, the second worth three times the first; no repeats unless asked for. */
    static Settings settings(long repeatMs) {
        return settings(List.of(cls(1000, 1), cls(2000, 3)), 1, 4, repeatMs);
    }

    static RoutingPolicy.ListedServer running(long server) {
        return new RoutingPolicy.ListedServer(server, (int) server, ServerStatus.RUNNING, 0, 1);
    }

    /** What the policy knows of a listed server. */
    ServerState server(long id) {
        return policy.cluster.servers.get(id);
    }

    void list(RoutingPolicy.ListedServer... lines) {
        policy.serversListed(now, true, List.of(lines));
    }

    void change(RoutingPolicy.ListedServer... lines) {
        policy.serversListed(now, false, List.of(lines));
    }

    void call(String id, int callClass, int first) {
        call(id, callClass, first, GRACE);
    }

    void call(String id, int callClass, int first, double grace) {
        policy.requestArrived(now, new RoutingPolicy.Request(id, callClass, "n" + id, grace, first, false));
    }

    void answer(Sent s) {
        policy.callEstablished(now, s.call, s.attempt, s.server, now - s.at);
    }

    void end(Sent s, Outcome how) {
        end(s, how, 0);
    }

    void end(Sent s, Outcome how, double statedWait) {
        policy.attemptEnded(now, new RoutingPolicy.AttemptResult(s.call, s.attempt, s.server, how, how == Outcome.COMPLETED,
                now - s.at, statedWait, null));
    }

    /** Moves the clock on, firing each timer at its time. */
    void until(double time) {
        while (true) {
            double next = timers.stream().mapToDouble(b -> b).min().orElse(Double.MAX_VALUE);
            if (next > time) {
                break;
            }
            timers.remove(next);
            now = Math.max(now, next);
            policy.timerFired(now);
        }
        now = time;
    }

    /** Moves the clock without a timer, as a stalled gateway would; the timers fire late, all at once. */
    void stallUntil(double time) {
        now = time;
        int due = (int) timers.stream().filter(b -> b <= time).count();
        timers.removeIf(b -> b <= time);
        for (int i = 0; i < due; i++) {
            policy.timerFired(now);
        }
    }

    Sent last() {
        return sent.get(sent.size() - 1);
    }

    long sentTo(long server) {
        return sent.stream().filter(s -> s.server == server).count();
    }

    @Override
    public void send(String call, long server, double giveUpAfterMs) {
        int attempt = attempts.merge(call, 1, Integer::sum) - 1;
        sent.add(new Sent(now, call, server, attempt));
    }

    @Override
    public void reject(String call, double adviseMs) {
        finals.add(new Final(now, call, true));
    }

    @Override
    public void fail(String call) {
        finals.add(new Final(now, call, false));
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
        asked++;
    }
}
