package pathlane.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.IntStream;
import pathlane.config.Settings;
import pathlane.config.Settings.CallClass;
import pathlane.config.Settings.Rules;
import pathlane.slowstart.SlowStartShare;

/**
 * All decisions of a gateway; its interface (settings, events, actions) is in Gateway.java.
 *
 * <p>Per core server the controller tests conditions (4) and (6) of Andersson et al. 2003 on each send and
 * answer, from own unanswered set-ups and inferred service time; under overload the server's gate gaps
 * classes, the lowest-ranked first, down to their floors. What stands beside says what it guards against.
 */
public final class AdaptiveRoutingPolicy implements RoutingPolicy {

    /** The paper's margin f: a condition that fails with its right side times f signals level 1. */
    private static final double MARGIN = 0.9;
    /** The paper's number of consecutive detections that change the level. */
    private static final int DETECTIONS = 5;
    /** Delays kept for the quartile: enough for its upper quarter to hold two. */
    private static final int RECENT = 8;
    /** The paper's guaranteed rates by rank; ranks after the third share the last. */
    private static final double[] FLOORS = {10, 5, 0.5};
    /** Floors together, as a share of what a server lately answered: alone they can't overload it. */
    private static final double FLOOR_SHARE = 0.5;
    /** X, the step of gapping and lifting, as a share of the shortest limit. */
    private static final double STEP_SHARE = 0.1;
    /** The part of a tick within which nothing new can have come, with room for rounding. */
    private static final double TICK_PART = 0.9;
    /** First choice is good while its delay is under this share of the call's limit. */
    private static final double GOOD_SHARE = 0.5;
    /** Lateness, as a share of the shortest limit, that is no chance: of a bell, or behind a later set-up. */
    private static final double SLACK_SHARE = 0.25;
    /** Set-ups that may be out to a server from which no delay is known. */
    private static final int UNPROVEN = 2;
    /** A held call is answered after this share of its time: an own stall hardly ever outlasts the rest. */
    private static final double HOLD_SHARE = 0.25;
    /** What is used of the cold rule: the rest is for what this gateway can't know. */
    private static final double FALL_SHARE = 0.5;
    /** Doublings of the pause after failures in a row. */
    private static final int MOST_DOUBLINGS = 4;
    /** The most by which a prompt answer divides the pace; a late one may multiply it so twice. */
    private static final double PACE_CHANGE = 2;
    /** The slowest pace, in gaps of an even spread: a server is tried again while its trouble may end. */
    private static final double PACE_MOST = 8;
    /** Shares of the told free lines that calls of first choice take: few gateways use theirs in time. */
    private static final double FIRST_SHARES = 3;
    /** Evidence stays good for so many of the longest aims; a loss of set-ups is minded for so many such. */
    private static final double MEMORY_AIMS = 2;

    private static final Comparator<Setup> DEAREST_FIRST = (one, other) -> {
        int byWorth = Double.compare(other.rankedBy, one.rankedBy);
        return byWorth != 0 ? byWorth : Double.compare(one.arrivedAt, other.arrivedAt);
    };

    private final Settings settings;
    private final Optional<SlowStartShare> share;
    private final RoutingPolicy.Actions actions;
    private final SplittableRandom random;
    private final double[] limits;
    private final double[] classLimit;
    private final int[] rank;
    private final int[] byRank;
    private final double floorsTogether;
    private final double shortest;
    private final double longest;
    private final double memory;
    private final double step;
    final Map<Long, Server> servers = new TreeMap<>(Long::compareUnsigned);
    private final Map<String, Setup> calls = new LinkedHashMap<>();
    private final Map<String, Dialled> numbers = new LinkedHashMap<>();
    private final List<Setup> held = new ArrayList<>();
    private boolean listSeen;
    private double linesSum;
    private int linesTold;
    private double usual;
    private double usualAt;
    private final double[] firstGrace;
    private double lostAt = Double.NEGATIVE_INFINITY;
    private final DecayingRate answers;
    private final DecayingRate arrivals;
    private double wakeAt = Double.NaN;
    private double askAt = Double.NaN;
    private final Set<Long> barred = new HashSet<>();
    private boolean passDue = true;
    private double barredAt = Double.NEGATIVE_INFINITY;
    private double purgedAt = Double.NEGATIVE_INFINITY;
    private double engagedUntil = Double.NEGATIVE_INFINITY;
    private double stalledAt = Double.NaN;

    /** Starts empty; the seed is the only source of chance. */
    public AdaptiveRoutingPolicy(Settings settings, long seed, RoutingPolicy.Actions actions) {
        this.settings = settings;
        share = settings.slowStartSenders().map(all -> new SlowStartShare(settings.rules(), all));
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        int count = settings.classes().size();
        double repeat = settings.retransmitMs() > 0 ? settings.retransmitMs() : Double.POSITIVE_INFINITY;
        classLimit = settings.classes().stream().mapToDouble(c -> Math.min(c.latencyObjectiveMs(), repeat)).toArray();
        limits = Arrays.stream(classLimit).sorted().distinct().toArray();
        shortest = limits[0];
        longest = limits[limits.length - 1];
        step = STEP_SHARE * shortest;
        memory = MEMORY_AIMS * settings.classes().stream().mapToDouble(CallClass::latencyObjectiveMs).max().orElseThrow();
        answers = new DecayingRate(memory);
        arrivals = new DecayingRate(memory);
        byRank = IntStream.range(0, count).boxed().sorted(Comparator.comparingDouble(c -> -utility(c)))
                .mapToInt(c -> c).toArray();
        rank = new int[count];
        firstGrace = new double[count];
        for (int r = 0; r < count; r++) {
            rank[byRank[r]] = r;
        }
        floorsTogether = Arrays.stream(rank).mapToDouble(r -> FLOORS[Math.min(r, FLOORS.length - 1)]).sum();
        if (settings.mustRequestServerList()) {
            actions.requestServerList();
        }
    }

    /** The paper's U: worth for each unit of set-up work. */
    private double utility(int callClass) {
        CallClass c = settings.classes().get(callClass);
        return c.priorityWeight() / c.slots();
    }

    // ---- events

    @Override
    public void serversListed(double now, boolean whole, List<RoutingPolicy.ListedServer> lines) {
        begin(now);
        if (whole) {
            servers.values().forEach(server -> server.mode = ServerStatus.GONE);
        }
        for (RoutingPolicy.ListedServer line : lines) {
            boolean fresh = !servers.containsKey(line.serverId());
            servers.computeIfAbsent(line.serverId(), Server::new).listed(now, line, fresh && listSeen);
        }
        // Guards long days: servers come under new ids, and each event looks at all that are kept.
        servers.values().forEach(server -> server.goneAt = server.mode == ServerStatus.GONE ? Math.min(server.goneAt, now)
                : Double.POSITIVE_INFINITY);
        servers.values().removeIf(server -> now - server.goneAt > settings.rules().slowStartMs());
        listSeen = true;
        askAt = Double.NaN;
        settle(now);
    }

    @Override
    public void serverListFailed(double now) {
        begin(now);
        askAt = now + longest;
        settle(now);
    }

    @Override
    public void requestArrived(double now, RoutingPolicy.Request call) {
        begin(now);
        if (call.callClass() < 0 || call.callClass() >= classLimit.length) {
            actions.reject(call.id(), 0);
        } else if (!calls.containsKey(call.id())) {
            arrivals.count(now);
            Setup setup = new Setup(call, now, firstTry(now, call));
            calls.put(call.id(), setup);
            held.add(setup);
            // Its kind found no room in this tick, and a call more makes none: the next bell tries again.
            passDue = now - barredAt >= settings.tickMs() * TICK_PART || !barred.contains(setup.alike(now));
            for (Server server : servers.values()) {
                if (server.mode == ServerStatus.RUNNING && setup.mayGoTo(server)) {
                    server.detect(now, classLimit[call.callClass()]);
                }
            }
        }
        settle(now);
    }

    /**
     * When the caller first tried: a number that was lately dialled in vain is dialled again. Guards against
     * calls that can only stand late taking the place of fresh ones, when the callers turned away come back
     * in numbers. Harm: a number that many dial counts as dialled again, and gives way while others wait.
     */
    private double firstTry(double now, RoutingPolicy.Request call) {
        double deadline = settings.classes().get(call.callClass()).deadlineMs();
        Dialled number = numbers.get(call.destination());
        if (number != null && now - number.firstAt < deadline) {
            return number.firstAt;
        }
        // What an own stall held up came meanwhile: the time left, against other first tries', tells when.
        if (now != stalledAt) {
            firstGrace[call.callClass()] = call.remainingMs();
        }
        return now - Math.max(0, firstGrace[call.callClass()] - call.remainingMs());
    }

    /** Lines of the running servers together: servers differ widely, and the lines of one tell its part. */
    private double lines() {
        return Math.max(1, servers.values().stream().filter(server -> server.mode == ServerStatus.RUNNING)
                .mapToDouble(Server::ownLines).sum());
    }

    /** A number lately dialled in vain: since when, and the gap of its calls while its lines are engaged. */
    private static final class Dialled {
        double firstAt;
        double engagedAt = Double.NEGATIVE_INFINITY;
        double gap;
        double nextPass;

        boolean forgotten(double now, double deadline) {
            return now - firstAt > deadline && now > nextPass + gap;
        }
    }

    private Dialled inVain(double now, Setup call) {
        double deadline = call.callClass().deadlineMs();
        if (now - purgedAt >= shortest) {   // seldom, or it would cost the more the more callers are refused
            purgedAt = now;
            numbers.values().removeIf(old -> old.forgotten(now, deadline));
        }
        Dialled number = numbers.computeIfAbsent(call.number(), n -> new Dialled());
        number.firstAt = call.firstAt;
        return number;
    }

    /**
     * Guards against a number that many dial and few lines answer: each try costs a server its work and none
     * can do better. Its calls are gapped, at twice the gap each time it is engaged again, no longer than a
     * caller would try; one that stands ends it. Harm: a line that falls free stays free till the gap's end.
     */
    private void engaged(double now, Setup call) {
        Dialled number = inVain(now, call);
        if (call.sentAt >= number.engagedAt) {
            number.engagedAt = now;
            number.gap = Math.min(Math.max(number.gap + number.gap, shortest), call.callClass().deadlineMs());
            number.nextPass = now + number.gap;
            engagedUntil = Math.max(engagedUntil, number.nextPass);
        }
    }

    @Override
    public void callEstablished(double now, String id, int attempt, long server, double elapsedMs) {
        begin(now);
        Setup call = calls.get(id);
        if (call != null && call.server != null && call.attempts - 1 == attempt && !call.standing) {
            call.standing = true;
            call.done = true;
            numbers.remove(call.number());
            call.server.standing++;
            call.server.answered(now, call, elapsedMs);
        }
        settle(now);
    }

    @Override
    public void attemptEnded(double now, RoutingPolicy.AttemptResult end) {
        begin(now);
        Setup call = calls.get(end.callId());
        if (call != null && call.server != null && call.attempts - 1 == end.attempt()) {
            Server server = call.server;
            call.server = null;
            if (end.report() != null) {
                server.report(now, end.report());
            }
            if (call.standing) {
                calls.remove(end.callId());
                server.standing--;
                if (end.outcome() == Outcome.RESET && server.standing == 0) {
                    // Guards a server that restarts before the list tells it: all own calls there were cut.
                    server.startsCold(now, now);
                }
                server.freeLines += call.callClass().slots();
                server.firstLines += call.callClass().slots();   // the line that it leaves is this gateway's
            } else {
                server.unanswered.remove(end.callId());
                setupEnded(now, call, server, end);
            }
        }
        settle(now);
    }

    /** An attempt came back without the call standing: judge the server, then hold the call for another. */
    private void setupEnded(double now, Setup call, Server server, RoutingPolicy.AttemptResult end) {
        boolean turnedAway = end.outcome() == Outcome.REJECTED || end.outcome() == Outcome.NO_CAPACITY;
        server.heardAt = turnedAway ? now : server.heardAt;
        switch (end.outcome()) {
            case NO_CAPACITY -> server.told(now, 0);   // its processor is well
            case REJECTED -> {
                server.pace(now, call, Double.POSITIVE_INFINITY, 1);   // as late as can be
                server.pause(now, call.sentAt, end.retryAfterMs());
            }
            case UNREACHABLE, RESET -> server.pause(now, call.sentAt, 0);
            case TIMED_OUT -> {
                if (server.heardAt < now - end.elapsedMs()) {
                    server.pause(now, call.sentAt, 0);
                }
                server.unheard(now, call);
                server.pace(now, call, end.elapsedMs(), 1);
            }
            case BUSY -> engaged(now, call);
            case ERROR -> call.erredAt = server;
            default -> {}
        }
        if (end.isCallClosed() || call.done) {
            calls.remove(end.callId());
            return;
        }
        if (end.outcome() == Outcome.TIMED_OUT || end.outcome() == Outcome.RESET || end.outcome() == Outcome.CANCELLED) {
            call.notBefore = now + settings.rules().retryDelayMs();   // rule five: the release is awaited
        }
        call.mayHaveRun |= !turnedAway && end.outcome() != Outcome.UNREACHABLE && end.outcome() != Outcome.NOT_SENT;
        if (end.outcome() == Outcome.BUSY || call.attempts >= settings.maxAttempts()
                || call.mayHaveRun && !call.callClass().isIdempotent()) {
            finish(now, call);
        } else {
            call.notBefore = Math.max(call.notBefore, now);
            call.holdUntil = call.holdUntil();
            held.add(call);
        }
    }

    @Override
    public void clientLeft(double now, String id) {
        begin(now);
        Setup call = calls.get(id);
        if (call != null && !call.done) {
            inVain(now, call);
            call.done = true;
            held.remove(call);
            if (call.server == null) {
                calls.remove(id);
            } else {
                call.server.unheard(now, call);
                // Leavers linger in N: the caller has gone, so the set-up is called off and not counted.
                call.server.unanswered.remove(id);
                callOff(call);
            }
        }
        settle(now);
    }

    @Override
    public void loadReported(double now, long id, RoutingPolicy.LoadReport report) {
        begin(now);
        Server server = servers.get(id);
        if (server != null && report != null) {
            server.report(now, report);
        }
        settle(now);
    }

    @Override
    public void timerFired(double now) {
        begin(now);
        settle(now);
    }

    // ---- the course of a call

    /** A bell that comes late tells of an own stall: what was waited then says nothing of the servers. */
    private void begin(double now) {
        if (!Double.isNaN(wakeAt) && now >= wakeAt) {
            double late = now - wakeAt;
            wakeAt = Double.NaN;
            if (late > shortest * SLACK_SHARE) {
                stalledAt = now;
                servers.values().forEach(server -> server.unanswered.values().forEach(call -> {
                    call.deadline += late;
                    call.countedFrom += late;
                }));
            }
        }
    }

    /** After every event: answers and sends what is held, dearest first, and asks to be woken in time. */
    private void settle(double now) {
        if (now >= askAt) {
            askAt = now + longest;
            actions.requestServerList();
        }
        servers.values().forEach(server -> server.advance(now));
        if (!held.isEmpty() && passDue) {
            List<Setup> waiting = new ArrayList<>(held);
            waiting.forEach(call -> call.rankedBy = call.worthNow(now));
            waiting.sort(DEAREST_FIRST);   // nearly in order from the last time
            held.clear();
            // Guards against a long line of held calls: one of a kind that found no room speaks for the rest.
            barred.clear();
            barredAt = now;
            for (Setup call : waiting) {
                if (now >= call.holdUntil || now < engagedUntil && numbers.containsKey(call.number())
                        && now < numbers.get(call.number()).nextPass) {
                    finish(now, call);
                } else if (now < call.notBefore || barred.contains(call.alike(now))) {
                    held.add(call);
                } else if (!place(now, call)) {
                    held.add(call);
                    if (call.finalBy - now >= classLimit[call.kind()]) {
                        barred.add(call.alike(now));
                    }
                }
            }
        }
        passDue = true;
        wake(now);
    }

    /** Asks for the next bell; a held call whose time ends before one asked for gets one of its own. */
    private void wake(double now) {
        if (calls.isEmpty() && Double.isNaN(askAt)) {
            return;
        }
        double next = now + Math.max(settings.tickMs() * 2, shortest * (held.isEmpty() ? 0.1 : 0.02));
        for (Setup call : held) {
            next = Math.min(next, Math.max(now, call.holdUntil));
        }
        if (Double.isNaN(wakeAt) || next < wakeAt) {
            wakeAt = next;
            actions.scheduleTimer(next - now);
        }
    }

    /** Rule one: the one place that gives a final answer. */
    private void finish(double now, Setup call) {
        inVain(now, call);
        call.done = true;
        calls.remove(call.id());
        if (call.mayHaveRun && !call.callClass().isIdempotent()) {
            actions.fail(call.id());
        } else {
            actions.reject(call.id(), comeBackAfter(now, call));
        }
    }

    /** The time to come back: the soonest at which what bars the call now may have passed, at any server. */
    private double comeBackAfter(double now, Setup call) {
        return servers.values().stream().filter(server -> server.mode == ServerStatus.RUNNING && call.mayGoTo(server))
                .mapToDouble(server -> server.barredFor(now, call.kind()))
                .reduce(settings.maxRetryAfterMs(), Math::min);
    }

    private void callOff(Setup call) {
        if (settings.canCancel()) {
            actions.cancel(call.id(), call.attempts - 1);
        }
    }

    /** Sends the call to its first choice while that is good, else draws among those that let it pass. */
    private boolean place(double now, Setup call) {
        List<Server> open = new ArrayList<>();
        Server first = null;
        double least = Double.MAX_VALUE;
        for (Server server : servers.values()) {
            if (server != call.erredAt && call.mayGoTo(server) && server.passes(now, call)) {
                open.add(server);
                least = Math.min(least, server.delay(now));
                if (server.pool == call.asked.preferredPool()) {
                    first = server;
                }
            }
        }
        if (open.isEmpty() && (call.erredAt == null || !call.erredAt.passes(now, call))) {
            return false;
        }
        boolean good = first != null && first.level == 0
                && first.delay(now) <= Math.max(GOOD_SHARE * classLimit[call.kind()], least);
        send(now, call, good ? first : open.isEmpty() ? call.erredAt : draw(now, open));
        return true;
    }

    private Server draw(double now, List<Server> open) {
        double point = random.nextDouble() * open.stream().mapToDouble(server -> server.weight(now)).sum();
        for (Server server : open) {
            point -= server.weight(now);
            if (point < 0) {
                return server;
            }
        }
        return open.get(open.size() - 1);
    }

    private void send(double now, Setup call, Server server) {
        Dialled number = numbers.get(call.number());
        if (number != null) {
            number.nextPass = now + number.gap;
            engagedUntil = Math.max(engagedUntil, number.nextPass);
        }
        call.server = server;
        call.attempts++;
        call.sentAt = now;
        call.countedFrom = now;
        call.deadline = now + Math.min(classLimit[call.kind()], call.finalBy - now);
        server.sent(now, call);
        actions.send(call.id(), server.id, Math.max(settings.tickMs(), call.finalBy - now));
    }

    /** A call from its arrival to its end. */
    private final class Setup {
        final RoutingPolicy.Request asked;
        final double arrivedAt;
        final double firstAt;
        final double finalBy;
        int attempts;
        double notBefore;
        double sentAt;
        double countedFrom;
        double deadline;
        Server server;
        /** Answered the last attempt with an error: others come first, in case it does so to all. */
        Server erredAt;
        boolean standing;
        boolean done;
        boolean mayHaveRun;
        boolean judged;
        double rankedBy;
        double holdUntil;
        final double lateFrom;
        final double worth;
        final double lateWorth;

        Setup(RoutingPolicy.Request call, double now, double firstAt) {
            asked = call;
            arrivedAt = now;
            this.firstAt = firstAt;
            lateFrom = firstAt + callClass().latencyObjectiveMs();
            worth = utility(kind());
            lateWorth = worth * callClass().lateWeight();
            holdUntil = holdUntil();
            finalBy = now + call.remainingMs() - 2 * settings.tickMs();
        }

        CallClass callClass() {
            return settings.classes().get(kind());
        }

        String id() {
            return asked.id();
        }

        /** The number dialled; a call without one shares nothing with others. */
        String number() {
            return asked.destination() == null ? id() : asked.destination();
        }

        int kind() {
            return asked.callClass();
        }

        /** The paper's U, or what is left of it once the caller's first try is longer ago than the aim. */
        double worthNow(double now) {
            return late(now) ? lateWorth : worth;
        }

        boolean late(double now) {
            return now >= lateFrom;
        }

        /** Calls with the same figure find room at the same servers, but for the time that they have left. */
        long alike(double now) {
            return ((long) asked.preferredPool() << Integer.SIZE) + 2L * kind() + (late(now) ? 1 : 0);
        }

        /** Held while it can still stand within its aim, but not so long that an own stall could lose it. */
        private double holdUntil() {
            double from = Math.max(arrivedAt, notBefore);
            double most = arrivedAt + asked.remainingMs() * (1 - HOLD_SHARE);
            double patience = Math.min(asked.remainingMs() * HOLD_SHARE, callClass().latencyObjectiveMs() * MARGIN);
            return Math.min(most, from + patience);
        }

        boolean mayGoTo(Server server) {
            List<Integer> allowed = callClass().allowedPools();
            return server.pool != settings.ownPool()
                    && (!asked.isInTransit() || server.pool == asked.preferredPool())
                    && (allowed.isEmpty() || allowed.contains(server.pool));
        }
    }

    // ---- one core server: controller, gate, guards

    /** Whether conditions (4) and (6) hold with their right sides times the margin; lambda is by limit. */
    static boolean feasible(double[] limit, double[] lambda, DoubleUnaryOperator near, double x,
            double margin) {
        for (int k = 0; k < limit.length; k++) {
            double shorter = 0;
            double repeated = 0;
            for (int j = 0; j < k; j++) {
                shorter += lambda[j] * (limit[k] - limit[j]);
                repeated += lambda[j] * limit[j];
            }
            double most = margin * limit[k];
            if (x > 0 && (near.applyAsDouble(limit[k]) + shorter) * x >= most) {
                return false;
            }
            for (int i = k + 1; i < limit.length; i++) {
                double between = 0;
                for (int j = k; j < i; j++) {
                    between += lambda[j] * Math.min(limit[k], limit[i] - limit[j]);
                }
                double count = near.applyAsDouble(limit[i]) - near.applyAsDouble(limit[i] - limit[k]);
                if (x > 0 && (count + shorter + between + repeated) * x >= most) {
                    return false;
                }
            }
        }
        return true;
    }

    final class Server {
        final long id;
        int pool;
        double size = 1;
        ServerStatus mode = ServerStatus.RUNNING;
        double goneAt = Double.POSITIVE_INFINITY;
        double startedMs;
        double coldSince = Double.NaN;
        final Map<String, Setup> unanswered = new LinkedHashMap<>();
        final ArrayDeque<double[]> samples = new ArrayDeque<>();
        double x;
        double ownDelay;
        double lastDelay;
        double ownDelayAt = Double.NEGATIVE_INFINITY;
        double lines;
        double freeLines;
        double firstLines;
        int standing;
        double unheardAt = Double.NEGATIVE_INFINITY;
        double linesToldAt = Double.NEGATIVE_INFINITY;
        double reportedWait;
        double reportedAt = Double.NEGATIVE_INFINITY;
        int level;
        int seenLevel;
        int detections;
        double detectedAt;
        final boolean[] gapped = new boolean[classLimit.length];
        final double[] nextPass = new double[classLimit.length];
        double steppedAt = Double.NEGATIVE_INFINITY;
        DecayingRate rate = new DecayingRate(memory);
        double heardAt = Double.NEGATIVE_INFINITY;
        int failures;
        double failedAt = Double.NEGATIVE_INFINITY;
        double blockedUntil = Double.NEGATIVE_INFINITY;
        double sentAt = Double.NEGATIVE_INFINITY;
        double pace;
        double pacedAt = Double.NEGATIVE_INFINITY;
        double tokens;
        double tokensAt;

        Server(long id) {
            this.id = id;
        }

        void listed(double now, RoutingPolicy.ListedServer line, boolean newcomer) {
            pool = line.pool();
            size = line.weight() > 0 ? line.weight() : 1;
            mode = line.status();
            boolean restarted = line.startedMs() > 0 && line.startedMs() > startedMs;
            startedMs = Math.max(startedMs, line.startedMs());
            if (restarted && now - startedMs < settings.rules().slowStartMs()) {
                startsCold(startedMs, now);
            } else if (newcomer && line.startedMs() <= 0) {
                startsCold(now, now);
            }
        }

        private void startsCold(double since, double now) {
            coldSince = since;
            share.ifPresent(all -> all.serverStarted(id, since));
            tokens = random.nextDouble();
            tokensAt = now;
            pace = 0;
            unheardAt = Double.NEGATIVE_INFINITY;
            failures = 0;
            blockedUntil = Double.NEGATIVE_INFINITY;
            forget();
        }

        private void forget() {
            samples.clear();
            x = 0;
            ownDelay = 0;
            ownDelayAt = Double.NEGATIVE_INFINITY;
        }

        // -- controller

        /** The floor rate, in calls a millisecond, of all classes with this limit. */
        double lambda(double limit) {
            double sum = 0;
            for (int c = 0; c < rank.length; c++) {
                sum += classLimit[c] == limit ? floor(c) : 0;
            }
            return sum;
        }

        /** The floor d of one class: the paper's ratio, scaled to a share of what the server answered. */
        double floor(int callClass) {
            double share = FLOORS[Math.min(rank[callClass], FLOORS.length - 1)] / floorsTogether;
            return share * Math.max(FLOOR_SHARE * rate.last(), 1 / (memory * settings.controllerCount()));
        }

        /** On each send and answer, and on each arrival as if it were admitted (section 5.2 of the paper). */
        void detect(double now, double offered) {
            if (now == stalledAt) {
                return;
            }
            detectedAt = now;
            refreshX(now);
            double[] floors = new double[limits.length];
            Arrays.setAll(floors, i -> lambda(limits[i]));
            double[] left = new double[unanswered.size()];
            int size = 0;
            for (Setup call : unanswered.values()) {
                left[size++] = call.deadline - now;
            }
            // N(t): own unanswered set-ups whose deadline is under t away.
            DoubleUnaryOperator near = t -> {
                int count = offered <= t ? 1 : 0;
                for (double one : left) {
                    count += one < t ? 1 : 0;
                }
                return count;
            };
            see(now, !feasible(limits, floors, near, x, 1) ? 2
                    : !feasible(limits, floors, near, x, MARGIN) ? 1 : 0);
        }

        void see(double now, int seen) {
            detections = seen == seenLevel ? detections + 1 : 1;
            seenLevel = seen;
            if (detections >= DETECTIONS && seen != level) {
                level = seen;
                steppedAt = Math.min(steppedAt, now - step);
            }
        }

        /** x: the upper quartile of the recent own delays, each over the set-ups then outstanding. */
        void refreshX(double now) {
            // The last sample stays however old: x at nought would open a slow server to all at once.
            double from = now - MEMORY_AIMS * longest;
            while (samples.size() > RECENT || samples.size() > 1 && samples.peekFirst()[0] < from) {
                samples.removeFirst();
            }
            double[] sorted = new double[samples.size()];
            int size = 0;
            for (double[] sample : samples) {
                sorted[size++] = sample[1];
            }
            Arrays.sort(sorted);
            x = sorted.length == 0 ? 0 : sorted[(3 * sorted.length - 1) / 4];
        }

        // -- gate

        /** Gaps or lifts one class a step; level 2 gaps all at once. */
        void advance(double now) {
            if (now - lostAt < MEMORY_AIMS * memory) {
                judge(now);
            }
            // Guards against gaps that outlive their cause: few sends and answers are seen through a gate, so
            // a server that owes nothing is tested once a step too.
            if (level > 0 && unanswered.isEmpty() && now - detectedAt >= step) {
                detect(now, Double.POSITIVE_INFINITY);
            }
            boolean gaps = level > 0;
            for (int r = 0; r < rank.length && (level == 2 || now - steppedAt >= step); r++) {
                int c = byRank[gaps ? rank.length - 1 - r : r];
                if (gapped[c] != gaps) {
                    gapped[c] = gaps;
                    nextPass[c] = now;
                    steppedAt = now;
                }
            }
            steppedAt = level == 2 ? now : steppedAt;
        }

        boolean passes(double now, Setup call) {
            int c = call.kind();
            boolean givesWay = call.late(now) && (level > 0 || pace > 0);   // it could earn little
            return !givesWay && hasRoom(now, call) && (!gapped[c] || now >= nextPass[c]);
        }

        /** Condition (4) for the one call, before it is sent; and the guards of the rules. */
        boolean hasRoom(double now, Setup call) {
            if (mode != ServerStatus.RUNNING || now < blockedUntil || !linesFree(now, call) || !coldBudgetLeft(now)
                    || now - sentAt < pace && evenGap(now) >= shortest) {
                return false;   // rules three and four, pauses after failures, and the pace
            }
            int out = 0;
            for (Setup waiting : unanswered.values()) {
                out += waiting.judged ? 0 : 1;
            }
            double limit = MARGIN * Math.min(classLimit[call.kind()], call.finalBy - now);
            if (x == 0) {
                return out < (failures > 0 ? 1 : UNPROVEN) && oldest(now) < limit;
            }
            // Guards against a delay that bars its own renewal: with nothing out, a lone set-up may go once
            // as long has passed since the last answer as that one took.
            if (out == 0 && now - ownDelayAt >= lastDelay) {
                return true;
            }
            // Guards against the herd that finds a server idle: x tells of no more than were seen out.
            double seenOut = 0;
            for (double[] sample : samples) {
                seenOut = Math.max(seenOut, sample[2]);
            }
            return out < 1 + seenOut && (out + 1) * x < limit && oldest(now) < limit;
        }

        /** How long pauses, the gap and the answers that are due keep a class from this server. */
        double barredFor(double now, int callClass) {
            double gap = gapped[callClass] ? nextPass[callClass] - now : 0;
            return Math.max(Math.max(blockedUntil - now, gap), unanswered.size() * x);
        }

        /** A set-up ended unanswered: lost if the server answered a later one, or soon answers promptly. */
        void unheard(double now, Setup call) {
            unheardAt = now;
            lostAt = heardAt > call.sentAt && pace == 0 ? now : lostAt;
        }

        /**
         * Guards against answers that never come though the server works: each would bar it until its caller
         * goes. While set-ups are seen lost, one that waits longer than it should paces the server, and bars
         * it no more. Harm: a jam found just then gets a set-up more from each gateway.
         */
        private void judge(double now) {
            for (Setup call : unanswered.values()) {
                if (!call.judged && now - call.countedFrom >= shortest * MARGIN) {
                    pace(now, call, now - call.countedFrom, 1);
                    call.judged = true;
                }
            }
        }

        double oldest(double now) {
            for (Setup call : unanswered.values()) {
                if (!call.judged) {
                    return now - call.countedFrom;
                }
            }
            return 0;
        }

        void sent(double now, Setup call) {
            unanswered.put(call.id(), call);
            sentAt = now;
            freeLines -= call.callClass().slots();
            firstLines -= call.callClass().slots();
            int c = call.kind();
            if (gapped[c]) {
                nextPass[c] = now + 1 / floor(c);
            }
            if (cold(now)) {
                tokens = Math.max(0, tokens - 1);
                share.ifPresent(all -> all.acquired(id));
            }
            detect(now, Double.POSITIVE_INFINITY);
        }

        // -- what is seen of the server

        void answered(double now, Setup call, double elapsedMs) {
            int out = Math.max(1, unanswered.size());
            unanswered.remove(call.id());
            heardAt = now;
            dropOvertaken(call);
            boolean prompt = elapsedMs < GOOD_SHARE * shortest;
            if (prompt && call.sentAt >= unheardAt && call.sentAt < unheardAt + memory) {
                lostAt = now;
            }
            failures = 0;
            if (now != stalledAt) {
                samples.addLast(new double[] {now, elapsedMs / out, out});
                ownDelay = ownDelayAt == Double.NEGATIVE_INFINITY ? elapsedMs : (ownDelay + elapsedMs) / 2;
                ownDelayAt = now;
                lastDelay = elapsedMs;
                pace(now, call, elapsedMs, out);
            }
            rate.count(now);
            double faded = usual * Math.exp((usualAt - now) / settings.rules().slowStartMs());
            usual = Math.max(answers.at(now) / lines(), faded);   // without this one, which would be chance
            answers.count(now);
            usualAt = now;
            if (prompt) {   // under a half: answers beget set-ups, and all together may not double what fills alone
                tokens += Math.min(MARGIN * FALL_SHARE, fill(now) * settings.rules().overloadWindowMs());
            }
            detect(now, Double.POSITIVE_INFINITY);
        }

        /** How far apart own set-ups to the server would be if they spread as the lines do. */
        private double evenGap(double now) {
            return lines() / ownLines() / Math.max(arrivals.at(now), 1 / memory);
        }

        /**
         * Guards against gateways that are many and each see little: where this one has less than one set-up
         * a limit for the server, no count of its own can fall under one, and a jam would be fed by one
         * set-up of each. A late lone one spaces those that follow, from the gap of an even spread on; prompt
         * ones close the gap. Acts on any sign of lateness: an answer, a refusal, a time-out. Harm: after a
         * jam the server is found well again only at the next set-up.
         */
        void pace(double now, Setup call, double delay, int out) {
            double even = evenGap(now);
            boolean late = delay >= shortest * MARGIN && out == 1;
            if (even < shortest) {
                pace = 0;
            } else if ((pace > 0 || late) && (call.sentAt >= pacedAt || call.judged)) {
                double change = Math.sqrt(delay / (shortest * GOOD_SHARE));
                change = Math.max(1 / PACE_CHANGE, Math.min(PACE_CHANGE * PACE_CHANGE, change));
                pacedAt = change > 1 ? now : pacedAt;
                pace = Math.min(PACE_MOST * even, Math.max(pace, even) * change);
                pace = change < 1 && pace <= even ? 0 : pace;
            }
        }

        /**
         * Guards against set-ups that get lost: a server takes them in turn, so one that was overtaken by a
         * later one is no longer counted, and called off to be tried again. Harm: jitter beyond the slack
         * costs an attempt.
         */
        private void dropOvertaken(Setup answered) {
            double before = answered.sentAt - SLACK_SHARE * shortest;
            for (Setup call : unanswered.values().stream().filter(c -> c.sentAt < before).toList()) {
                unanswered.remove(call.id());
                lostAt = heardAt;
                callOff(call);
            }
        }

        void report(double now, RoutingPolicy.LoadReport report) {
            double told = report.slots() > 0 ? report.slots() : lines;
            linesTold += lines == 0 && told > 0 ? 1 : 0;
            linesSum += told - lines;
            lines = told;
            if (report.freeSlots() >= 0) {
                told(now, report.freeSlots());
            }
            if (report.requestsPerSecond() > 0 && report.queued() >= 0) {
                reportedWait = 1000 * report.queued() / report.requestsPerSecond();
                reportedAt = now;
            }
        }

        /** What a server has not told is taken to be as with the others: it was not talked to yet. */
        double ownLines() {
            return lines > 0 ? lines : linesTold > 0 ? linesSum / linesTold : 1;
        }

        /** Guards against all gateways rushing for the same few lines: each takes its share. */
        private void told(double now, double free) {
            double share = free / settings.controllerCount();
            double chance = random.nextDouble();
            freeLines = Math.floor(share + chance);
            firstLines = Math.floor(FIRST_SHARES * share + chance);
            linesToldAt = now;
        }

        boolean linesFree(double now, Setup call) {
            double free = pool == call.asked.preferredPool() ? firstLines : freeLines;
            return free >= call.callClass().slots() || now - linesToldAt >= memory;
        }

        /**
         * Guards against a server that turns away, resets or can't be reached, whatever the cause: it is left
         * alone for the wait that it states, or for a pause that doubles with each failure in a row, and then
         * tried with one set-up at a time until one is answered. Set-ups sent before the last failure tell
         * nothing new. Harm: a lone failure by chance costs the shortest pause.
         */
        void pause(double now, double sentAt, double statedWait) {
            if (sentAt > failedAt) {
                failures++;
                failedAt = now;
                forget();
            }
            double grown = shortest * GOOD_SHARE * (1 << Math.min(failures - 1, MOST_DOUBLINGS));
            blockedUntil = Math.max(blockedUntil, now + Math.max(statedWait, grown));
        }

        double delay(double now) {
            double own = ownDelay * Math.exp(-Math.max(0, now - ownDelayAt) / memory);
            double reported = now - reportedAt < memory ? reportedWait : 0;
            return Math.max(Math.max(own, reported), oldest(now));
        }

        double weight(double now) {
            double slow = Math.max(delay(now), SLACK_SHARE * shortest);
            return ownLines() * size / (slow * slow);
        }

        // -- cold start

        boolean cold(double now) {
            return now - coldSince < settings.rules().slowStartMs();
        }

        /**
         * Rule four: this gateway's budget for a cold server, as a bucket of set-ups that fills with its
         * share of what the server can do so long after its start, at the least. The yardstick is the most
         * that the servers answered to this gateway. It starts at a random level, so that all together begin at that
         * rate. A gateway that is alone may always send one at a time: no more come than the server answers.
         */
        boolean coldBudgetLeft(double now) {
            if (!cold(now) || share.isPresent()) {
                return !cold(now) || share.get().mayAcquire(id, now);
            }
            double fill = fill(now);
            double most = Math.max(1, fill * settings.rules().overloadWindowMs() * FALL_SHARE);
            tokens = Math.min(most, tokens + (now - tokensAt) * fill);
            tokensAt = now;
            return tokens >= 1 || settings.controllerCount() == 1 && unanswered.isEmpty();
        }

        private double fill(double now) {
            Rules rules = settings.rules();
            double warmth =
                    rules.slowStartFraction() + (1 - rules.slowStartFraction()) * (now - coldSince) / rules.slowStartMs();
            return usual * ownLines() * Math.min(1, warmth) * rules.overloadFactor() * FALL_SHARE;
        }
    }
}
