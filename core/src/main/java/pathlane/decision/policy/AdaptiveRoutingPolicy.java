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
 * Makes all decisions of a call controller: events in, actions out. On each send and answer it tests conditions (4) and (6)
 * of Andersson et al. 2003 for the server concerned, using this controller's own unanswered requests and an inferred service
 * time. While a server is overloaded, its rate gate sheds call classes, lowest utility first, down to guaranteed rates.
 * Single-threaded; events are passed in time order.
 */
public final class AdaptiveRoutingPolicy implements RoutingPolicy {

    /** Dispatches closer together than this fraction of a tick are in the same tick; below 1 to allow for rounding. */
    private static final double SAME_TICK_FRACTION = 0.9;
    /** Timer interval as a fraction of the shortest latency limit, while calls wait and while none do. */
    private static final double WAITING_TIMER_FRACTION = 0.02;
    private static final double IDLE_TIMER_FRACTION = 0.1;

    private final Settings settings;
    private final Actions actions;
    final ClusterState cluster;
    private final DestinationBackoff destinations;
    private final Map<String, PendingCall> calls = new LinkedHashMap<>();
    private final List<PendingCall> waitingCalls = new ArrayList<>();
    /** The routing keys for which the last dispatch found no server with capacity. */
    private final Set<Long> keysWithoutCapacity = new HashSet<>();
    private double lastDispatchAt = Double.NEGATIVE_INFINITY;
    private boolean hasServerList;
    /** By class: the remaining deadline of a request on arrival, when no stall of this process delayed it. */
    private final double[] typicalRemaining;
    private final RequestedTimer timer = new RequestedTimer();
    private double nextListRequestAt = Double.NaN;

    /** Creates a policy without calls and servers; the seed is its only source of randomness. */
    public AdaptiveRoutingPolicy(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        cluster = new ClusterState(settings, new SplittableRandom(seed));
        destinations = new DestinationBackoff(cluster.classes.shortestLimit());
        typicalRemaining = new double[settings.classes().size()];
        if (settings.mustRequestServerList()) {
            actions.requestServerList();
        }
    }

    @Override
    public void serversListed(double now, boolean isComplete, List<ListedServer> entries) {
        detectStall(now);
        if (isComplete) {
            cluster.servers.values().forEach(server -> server.listing.remove());
        }
        for (ListedServer entry : entries) {
            boolean isNew = hasServerList && !cluster.servers.containsKey(entry.serverId());
            cluster.servers.computeIfAbsent(entry.serverId(), id -> new ServerState(id, cluster))
                    .updateListing(now, entry, isNew);
        }
        // Servers keep appearing under new ids, and every event iterates over all servers kept: old ones must be removed.
        cluster.servers.values().removeIf(server -> server.listing.isGoneFor(now, settings.rules().slowStartMs()));
        hasServerList = true;
        nextListRequestAt = Double.NaN;
        dispatch(now, true);
    }

    @Override
    public void serverListFailed(double now) {
        detectStall(now);
        nextListRequestAt = now + cluster.classes.longestLimit();
        dispatch(now, true);
    }

    @Override
    public void requestArrived(double now, Request request) {
        detectStall(now);
        boolean mayHaveCapacity = true;
        if (request.callClass() < 0 || request.callClass() >= cluster.classes.size()) {
            actions.reject(request.id(), 0);
        } else if (!calls.containsKey(request.id())) {
            cluster.arrivalRate.count(now);
            PendingCall call = new PendingCall(settings, request, now, firstArrival(now, request));
            calls.put(request.id(), call);
            waitingCalls.add(call);
            // If a call with the same key found no capacity in this tick, neither will this one: the next timer retries.
            mayHaveCapacity = now - lastDispatchAt >= settings.tickMs() * SAME_TICK_FRACTION
                    || !keysWithoutCapacity.contains(call.routingKey(now));
            for (ServerState server : cluster.servers.values()) {
                if (server.listing.isRunning() && call.mayUse(server)) {
                    server.detectOverload(now, cluster.classes.limit(call.classIndex()));
                }
            }
        }
        dispatch(now, mayHaveCapacity);
    }

    /** When the client's first request for this call arrived, so that late retries do not displace fresh requests. */
    private double firstArrival(double now, Request request) {
        int callClass = request.callClass();
        return destinations.firstArrival(now, request.destination(), settings.classes().get(callClass).deadlineMs())
                .orElseGet(() -> {
                    // A stall of this process delays requests: how much remaining deadline they lack against the typical
                    // value shows when they really arrived.
                    typicalRemaining[callClass] = cluster.isStallEnd(now) ? typicalRemaining[callClass]
                            : request.remainingMs();
                    return now - Math.max(0, typicalRemaining[callClass] - request.remainingMs());
                });
    }

    @Override
    public void callEstablished(double now, String id, int attempt, long serverId, double elapsedMs) {
        detectStall(now);
        PendingCall call = calls.get(id);
        if (call != null && call.isCurrent(attempt) && !call.isEstablished()) {
            call.markEstablished();
            destinations.recordSuccess(call);
            call.server().recordAnswer(now, call, elapsedMs, this::cancelAttempt);
        }
        dispatch(now, true);
    }

    @Override
    public void attemptEnded(double now, AttemptResult result) {
        detectStall(now);
        PendingCall call = calls.get(result.callId());
        if (call != null && call.isCurrent(result.attempt())) {
            ServerState server = call.detachServer();
            if (result.report() != null) {
                server.updateLoad(now, result.report());
            }
            if (call.isEstablished()) {
                calls.remove(call.id());
                server.callEnded(now, call, result.outcome() == Outcome.RESET);
            } else {
                server.attemptFailed(now, call, result);
                retryOrFinish(now, call, server, result);
            }
        }
        dispatch(now, true);
    }

    /** Lets the call wait for another attempt if it may have one, else gives its final answer. */
    private void retryOrFinish(double now, PendingCall call, ServerState server, AttemptResult result) {
        Outcome outcome = result.outcome();
        if (outcome == Outcome.BUSY) {
            destinations.recordBusy(now, call);
        }
        call.failedServer = outcome == Outcome.ERROR ? server : call.failedServer;
        if (result.isCallClosed() || !call.isOpen()) {
            calls.remove(call.id());
            return;
        }
        // After a lost attempt, the next one waits until the server has released it.
        call.attemptFailed(now + (outcome.isLost() ? settings.rules().retryDelayMs() : 0), outcome.mayHaveRun());
        if (outcome == Outcome.BUSY || call.attemptCount() >= settings.maxAttempts() || mustNotRetry(call)) {
            giveFinalAnswer(now, call);
        } else {
            call.returnToWaiting();
            call.updateHold();
            waitingCalls.add(call);
        }
    }

    private static boolean mustNotRetry(PendingCall call) {
        return call.mayHaveRun() && !call.callClass().isIdempotent();
    }

    @Override
    public void clientLeft(double now, String id) {
        detectStall(now);
        PendingCall call = calls.get(id);
        if (call != null && call.isOpen()) {
            destinations.recordFailure(now, call);
            call.abandon();
            waitingCalls.remove(call);
            if (call.server() == null) {
                calls.remove(id);
            } else {
                call.server().recordUnanswered(now, call);
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
            server.updateLoad(now, report);
        }
        dispatch(now, true);
    }

    @Override
    public void timerFired(double now) {
        detectStall(now);
        dispatch(now, true);
    }

    private void detectStall(double now) {
        double lateness = timer.fireIfDue(now);   // a timer that fires late shows that this process stalled
        if (lateness > cluster.classes.shortestLimit() * ServerState.LATENESS_TOLERANCE_FRACTION) {
            cluster.recordStall(now, lateness);
        }
    }

    /** Runs after every event: answers or sends waiting calls, and requests the next timer. */
    private void dispatch(double now, boolean mayHaveCapacity) {
        if (now >= nextListRequestAt) {
            nextListRequestAt = now + cluster.classes.longestLimit();
            actions.requestServerList();
        }
        cluster.servers.values().forEach(server -> server.advance(now));
        if (!waitingCalls.isEmpty() && mayHaveCapacity) {
            dispatchWaiting(now);
        }
        scheduleTimer(now);
    }

    /** Processes the waiting calls by value. Once a call finds no capacity, the others with its routing key are skipped. */
    private void dispatchWaiting(double now) {
        List<PendingCall> ranked = new ArrayList<>(waitingCalls);
        ranked.forEach(call -> call.updateValue(now));
        ranked.sort(PendingCall.HIGHEST_VALUE_FIRST);   // cheap: still nearly sorted from the last dispatch
        waitingCalls.clear();
        keysWithoutCapacity.clear();
        lastDispatchAt = now;
        for (PendingCall call : ranked) {
            if (now >= call.holdUntil || destinations.isBlocked(now, call)) {
                giveFinalAnswer(now, call);
            } else if (now < call.notBefore() || keysWithoutCapacity.contains(call.routingKey(now))) {
                waitingCalls.add(call);
            } else if (!route(now, call)) {
                waitingCalls.add(call);
                if (call.answerBy - now >= cluster.classes.limit(call.classIndex())) {
                    keysWithoutCapacity.add(call.routingKey(now));
                }
            }
        }
    }

    /** Requests the next timer, early enough for the waiting call whose hold time ends first. */
    private void scheduleTimer(double now) {
        if (calls.isEmpty() && Double.isNaN(nextListRequestAt)) {
            return;
        }
        double interval = cluster.classes.shortestLimit()
                * (waitingCalls.isEmpty() ? IDLE_TIMER_FRACTION : WAITING_TIMER_FRACTION);
        double next = now + Math.max(settings.tickMs() * 2, interval);
        for (PendingCall call : waitingCalls) {
            next = Math.min(next, Math.max(now, call.holdUntil));
        }
        if (timer.request(next)) {
            actions.scheduleTimer(next - now);
        }
    }

    /** Gives a call's final answer. Nothing else does, so that each call gets exactly one. */
    private void giveFinalAnswer(double now, PendingCall call) {
        destinations.recordFailure(now, call);
        call.abandon();
        calls.remove(call.id());
        if (mustNotRetry(call)) {
            actions.fail(call.id());
        } else {
            actions.reject(call.id(), retryAfter(now, call));
        }
    }

    /** The shortest time, over all servers, until whatever blocks the call there now may have ended. */
    private double retryAfter(double now, PendingCall call) {
        return cluster.servers.values().stream().filter(server -> server.listing.isRunning() && call.mayUse(server))
                .mapToDouble(server -> server.remainingWait(now, call.classIndex()))
                .reduce(settings.maxRetryAfterMs(), Math::min);
    }

    private void cancelAttempt(PendingCall call) {
        if (settings.canCancel()) {
            actions.cancel(call.id(), call.attemptCount() - 1);
        }
    }

    /** Sends the call to its preferred server while that performs well, else to a random one of those that admit it. */
    private boolean route(double now, PendingCall call) {
        List<ServerState> candidates = new ArrayList<>();
        ServerState preferred = null;
        double minDelay = Double.MAX_VALUE;
        for (ServerState server : cluster.servers.values()) {
            if (server != call.failedServer && call.mayUse(server) && server.admits(now, call)) {
                candidates.add(server);
                minDelay = Math.min(minDelay, server.expectedDelay(now));
                preferred = server.listing.pool() == call.request().preferredPool() ? server : preferred;
            }
        }
        if (candidates.isEmpty() && (call.failedServer == null || !call.failedServer.admits(now, call))) {
            return false;
        }
        double maxGoodDelay =
                Math.max(ServerState.GOOD_DELAY_FRACTION * cluster.classes.limit(call.classIndex()), minDelay);
        boolean isPreferredGood = preferred != null && preferred.overload.value() == Level.NONE
                && preferred.expectedDelay(now) <= maxGoodDelay;
        send(now, call,
                isPreferredGood ? preferred : candidates.isEmpty() ? call.failedServer : chooseRandomly(now, candidates));
        return true;
    }

    /** Chooses a server at random, weighted by {@link ServerState#selectionWeight}: by size and inverse square of delay. */
    private ServerState chooseRandomly(double now, List<ServerState> candidates) {
        double point =
                cluster.random.nextDouble() * candidates.stream().mapToDouble(server -> server.selectionWeight(now)).sum();
        for (ServerState server : candidates) {
            point -= server.selectionWeight(now);
            if (point < 0) {
                return server;
            }
        }
        return candidates.get(candidates.size() - 1);
    }

    private void send(double now, PendingCall call, ServerState server) {
        destinations.recordSent(now, call);
        call.attemptStarted(now, server, Math.min(cluster.classes.limit(call.classIndex()), call.answerBy - now));
        server.recordSent(now, call);
        actions.send(call.id(), server.id, Math.max(settings.tickMs(), call.answerBy - now));
    }
}
