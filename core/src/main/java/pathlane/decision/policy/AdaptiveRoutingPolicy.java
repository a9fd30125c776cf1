package pathlane.decision.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import pathlane.config.Settings;
import pathlane.decision.Outcome;
import pathlane.decision.RoutingPolicy;
import pathlane.decision.policy.OverloadDetector.Level;
import pathlane.decision.support.RequestedTimer;

/**
 * All decisions of a call controller: events in, actions out. For each server it tests conditions (4) and (6) of Andersson
 * et al. 2003 on each send and answer, from own unanswered requests and inferred service time; under overload that server's
 * gate sheds classes, the lowest utility first, to their guaranteed rates. One thread, events in order of time.
 */
public final class AdaptiveRoutingPolicy implements RoutingPolicy {

    /** The part of a tick within which nothing new can have come, with room for rounding. */
    private static final double TICK_PART = 0.9;
    /** How often calls are looked at, in shortest limits, while some wait and while none do. */
    private static final double WAITING_PERIOD = 0.02;
    private static final double IDLE_PERIOD = 0.1;

    private final Settings settings;
    private final Actions actions;
    final ClusterState cluster;
    private final DestinationBackoff destinations;
    private final Map<String, PendingCall> calls = new LinkedHashMap<>();
    private final List<PendingCall> waiting = new ArrayList<>();
    /** The routing keys that found no room at the last pass, and when that was. */
    private final Set<Long> keysWithoutRoom = new HashSet<>();
    private double passAt = Double.NEGATIVE_INFINITY;
    private boolean hasList;
    /** By class, the time that a request had left which this process did not hold up. */
    private final double[] usualRemaining;
    private final RequestedTimer timer = new RequestedTimer();
    private double requestListAt = Double.NaN;

    /** Starts without calls and servers; the seed is the only source of chance. */
    public AdaptiveRoutingPolicy(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        cluster = new ClusterState(settings, new SplittableRandom(seed));
        destinations = new DestinationBackoff(cluster.classes.shortestLimit());
        usualRemaining = new double[settings.classes().size()];
        if (settings.mustRequestServerList()) {
            actions.requestServerList();
        }
    }

    @Override
    public void serversListed(double now, boolean isWhole, List<ListedServer> entries) {
        detectStall(now);
        if (isWhole) {
            cluster.servers.values().forEach(server -> server.listing.remove());
        }
        for (ListedServer entry : entries) {
            boolean isNew = hasList && !cluster.servers.containsKey(entry.serverId());
            cluster.servers.computeIfAbsent(entry.serverId(), id -> new ServerState(id, cluster)).listed(now, entry, isNew);
        }
        // Servers come under new ids, and each event looks at all that are kept.
        cluster.servers.values().removeIf(server -> server.listing.isGoneFor(now, settings.rules().slowStartMs()));
        hasList = true;
        requestListAt = Double.NaN;
        dispatch(now, true);
    }

    @Override
    public void serverListFailed(double now) {
        detectStall(now);
        requestListAt = now + cluster.classes.longestLimit();
        dispatch(now, true);
    }

    @Override
    public void requestArrived(double now, Request request) {
        detectStall(now);
        boolean mayHaveRoom = true;
        if (request.callClass() < 0 || request.callClass() >= cluster.classes.size()) {
            actions.reject(request.id(), 0);
        } else if (!calls.containsKey(request.id())) {
            cluster.arrivals.count(now);
            PendingCall call = new PendingCall(settings, request, now, firstArrival(now, request));
            calls.put(request.id(), call);
            waiting.add(call);
            // Its like found no room in this tick, and a call more makes none: the next timer tries again.
            mayHaveRoom = now - passAt >= settings.tickMs() * TICK_PART || !keysWithoutRoom.contains(call.routingKey(now));
            for (ServerState server : cluster.servers.values()) {
                if (server.listing.isRunning() && call.mayUse(server)) {
                    server.detect(now, cluster.classes.limit(call.kind()));
                }
            }
        }
        dispatch(now, mayHaveRoom);
    }

    /** When the client's first request for the same came, so that late retries don't take the place of fresh requests. */
    private double firstArrival(double now, Request request) {
        int kind = request.callClass();
        return destinations.firstArrival(now, request.destination(), settings.classes().get(kind).deadlineMs())
                .orElseGet(() -> {
                    // What a stall of this process held up came meanwhile: the time left, against others', tells when.
                    usualRemaining[kind] = cluster.isStallEnd(now) ? usualRemaining[kind] : request.remainingMs();
                    return now - Math.max(0, usualRemaining[kind] - request.remainingMs());
                });
    }

    @Override
    public void callEstablished(double now, String id, int attempt, long serverId, double elapsedMs) {
        detectStall(now);
        PendingCall call = calls.get(id);
        if (call != null && call.isCurrent(attempt) && !call.isEstablished()) {
            call.established();
            destinations.recordSuccess(call);
            call.server().answered(now, call, elapsedMs, this::cancelAttempt);
        }
        dispatch(now, true);
    }

    @Override
    public void attemptEnded(double now, AttemptResult result) {
        detectStall(now);
        PendingCall call = calls.get(result.callId());
        if (call != null && call.isCurrent(result.attempt())) {
            ServerState server = call.detach();
            if (result.report() != null) {
                server.report(now, result.report());
            }
            if (call.isEstablished()) {
                calls.remove(call.id());
                server.callEnded(now, call, result.outcome() == Outcome.RESET);
            } else {
                server.attemptFailed(now, call, result);
                attemptFailed(now, call, server, result);
            }
        }
        dispatch(now, true);
    }

    /** Has the call wait for another attempt, where it may have one. */
    private void attemptFailed(double now, PendingCall call, ServerState server, AttemptResult result) {
        Outcome outcome = result.outcome();
        if (outcome == Outcome.BUSY) {
            destinations.recordBusy(now, call);
        }
        call.failedServer = outcome == Outcome.ERROR ? server : call.failedServer;
        if (result.isCallClosed() || !call.isOpen()) {
            calls.remove(call.id());
            return;
        }
        // Rule five: after a lost attempt its release is awaited.
        call.attemptFailed(now + (outcome.isLost() ? settings.rules().retryDelayMs() : 0), outcome.mayHaveRun());
        if (outcome == Outcome.BUSY || call.attempts() >= settings.maxAttempts() || mustNotRepeat(call)) {
            finish(now, call);
        } else {
            call.waitAgain();
            call.updateHold();
            waiting.add(call);
        }
    }

    private static boolean mustNotRepeat(PendingCall call) {
        return call.mayHaveRun() && !call.callClass().isIdempotent();
    }

    @Override
    public void clientLeft(double now, String id) {
        detectStall(now);
        PendingCall call = calls.get(id);
        if (call != null && call.isOpen()) {
            destinations.recordFailure(now, call);
            call.abandon();
            waiting.remove(call);
            if (call.server() == null) {
                calls.remove(id);
            } else {
                call.server().unheard(now, call);
                cancelAttempt(call);
            }
        }
        dispatch(now, true);
    }

    @Override
    public void loadReported(double now, long serverId, LoadReport report) {
        detectStall(now);
        ServerState server = cluster.servers.get(serverId);
        if (server != null && report != null) {
            server.report(now, report);
        }
        dispatch(now, true);
    }

    @Override
    public void timerFired(double now) {
        detectStall(now);
        dispatch(now, true);
    }

    private void detectStall(double now) {
        double late = timer.fire(now);   // a timer that fires late tells of a stall of this process
        if (late > cluster.classes.shortestLimit() * ServerState.SLACK_SHARE) {
            cluster.stalled(now, late);
        }
    }

    /** After every event: answers and sends what waits, and asks for the next timer. */
    private void dispatch(double now, boolean mayHaveRoom) {
        if (now >= requestListAt) {
            requestListAt = now + cluster.classes.longestLimit();
            actions.requestServerList();
        }
        cluster.servers.values().forEach(server -> server.advance(now));
        if (!waiting.isEmpty() && mayHaveRoom) {
            dispatchWaiting(now);
        }
        scheduleTimer(now);
    }

    /** Takes the waiting calls by value. One that found no room speaks for the rest of its routing key. */
    private void dispatchWaiting(double now) {
        List<PendingCall> ranked = new ArrayList<>(waiting);
        ranked.forEach(call -> call.rank(now));
        ranked.sort(PendingCall.HIGHEST_VALUE_FIRST);   // nearly in order from the last time
        waiting.clear();
        keysWithoutRoom.clear();
        passAt = now;
        for (PendingCall call : ranked) {
            if (now >= call.holdUntil || destinations.isBlocked(now, call)) {
                finish(now, call);
            } else if (now < call.notBefore() || keysWithoutRoom.contains(call.routingKey(now))) {
                waiting.add(call);
            } else if (!route(now, call)) {
                waiting.add(call);
                if (call.answerBy - now >= cluster.classes.limit(call.kind())) {
                    keysWithoutRoom.add(call.routingKey(now));
                }
            }
        }
    }

    /** Asks for the next timer; a waiting call whose time ends before one asked for gets one of its own. */
    private void scheduleTimer(double now) {
        if (calls.isEmpty() && Double.isNaN(requestListAt)) {
            return;
        }
        double period = cluster.classes.shortestLimit() * (waiting.isEmpty() ? IDLE_PERIOD : WAITING_PERIOD);
        double next = now + Math.max(settings.tickMs() * 2, period);
        for (PendingCall call : waiting) {
            next = Math.min(next, Math.max(now, call.holdUntil));
        }
        if (timer.request(next)) {
            actions.scheduleTimer(next - now);
        }
    }

    /** Rule one: the one place that gives a final answer. */
    private void finish(double now, PendingCall call) {
        destinations.recordFailure(now, call);
        call.abandon();
        calls.remove(call.id());
        if (mustNotRepeat(call)) {
            actions.fail(call.id());
        } else {
            actions.reject(call.id(), retryAfter(now, call));
        }
    }

    /** The soonest time at which what keeps the call out now may have passed, at any server. */
    private double retryAfter(double now, PendingCall call) {
        return cluster.servers.values().stream().filter(server -> server.listing.isRunning() && call.mayUse(server))
                .mapToDouble(server -> server.remainingWait(now, call.kind())).reduce(settings.maxRetryAfterMs(), Math::min);
    }

    private void cancelAttempt(PendingCall call) {
        if (settings.canCancel()) {
            actions.cancel(call.id(), call.attempts() - 1);
        }
    }

    /** Sends the call to its preferred server while that is good, else draws among those that admit it. */
    private boolean route(double now, PendingCall call) {
        List<ServerState> open = new ArrayList<>();
        ServerState preferred = null;
        double leastDelay = Double.MAX_VALUE;
        for (ServerState server : cluster.servers.values()) {
            if (server != call.failedServer && call.mayUse(server) && server.admits(now, call)) {
                open.add(server);
                leastDelay = Math.min(leastDelay, server.delay(now));
                preferred = server.listing.pool() == call.request().preferredPool() ? server : preferred;
            }
        }
        if (open.isEmpty() && (call.failedServer == null || !call.failedServer.admits(now, call))) {
            return false;
        }
        double goodDelay = Math.max(ServerState.GOOD_SHARE * cluster.classes.limit(call.kind()), leastDelay);
        boolean isGood = preferred != null && preferred.overload.value() == Level.NONE && preferred.delay(now) <= goodDelay;
        send(now, call, isGood ? preferred : open.isEmpty() ? call.failedServer : draw(now, open));
        return true;
    }

    /** DESIGN's delay-weighted draw. */
    private ServerState draw(double now, List<ServerState> open) {
        double point = cluster.random.nextDouble() * open.stream().mapToDouble(server -> server.drawWeight(now)).sum();
        for (ServerState server : open) {
            point -= server.drawWeight(now);
            if (point < 0) {
                return server;
            }
        }
        return open.get(open.size() - 1);
    }

    private void send(double now, PendingCall call, ServerState server) {
        destinations.recordSent(now, call);
        call.attemptStarted(now, server, Math.min(cluster.classes.limit(call.kind()), call.answerBy - now));
        server.sent(now, call);
        actions.send(call.id(), server.id, Math.max(settings.tickMs(), call.answerBy - now));
    }
}
