package pathlane.core;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import pathlane.config.Millis;
import pathlane.config.Settings;
import pathlane.core.Counters.Name;
import pathlane.decision.Gateway;
import pathlane.decision.Gateway.Ending;
import pathlane.decision.Gateway.Mode;
import pathlane.decision.Logic;

/**
 * The life of every call, on one thread and without a wire: it owns the table of calls, the attempts and
 * their timers, hands each event to the module, carries out the module's actions, and guards the rules.
 *
 * <p>A call is <em>open</em> until its one final answer, then <em>standing</em> until it is released, or gone.
 */
public final class CallController {

    /** Makes the way to a server when the list first names it. */
    public interface ServerPorts extends Function<ServerLine, ServerPort> { }

    /** A line for each step in the life of each call, where a level of FINE is asked for. */
    private static final Logger TRACE = System.getLogger("calls");

    /** Added to the rule's wait after a give-up: the give-up may reach its server later than the resend. */
    private static final Duration CLEAR_MARGIN = Duration.ofMillis(15);
    /** From so long an own stall on, what the bus has told meanwhile is read before anything is decided. */
    private static final Duration STALLED = Duration.ofMillis(50);
    /** Decisions in a row, before the connections are looked at again. */
    private static final Duration MOST_AT_ONCE = Duration.ofMillis(50);
    /** What is over is remembered for so long: what a server or caller still says of it concerns nobody. */
    private static final Duration OVER_MEMORY = Duration.ofSeconds(60);

    /** The most that is remembered of calls that are over, and of releases that found no caller. */
    private static final int MOST_REMEMBERED = 10_000;

    private final Settings settings;
    private final Scheduler scheduler;
    private final ServerPorts ports;
    private final Gateway module;
    private final Counters counters = new Counters();
    private final Map<String, Call> calls = new HashMap<>();
    private final Map<Long, Server> servers = new TreeMap<>();
    private final Map<String, Instant> over = new LinkedHashMap<>();
    private final Map<CallerPort, Held> callers = new LinkedHashMap<>();
    private final Map<String, Unrelayed> unrelayed = new LinkedHashMap<>();
    private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
    private boolean inModule;
    /** What waits for the module has its turn once the connections have been looked at. */
    private boolean putOff;
    /** The time of the module's last event: a bell may be rung a grain before its time, and counts as on time. */
    private double moduleTime;
    private static final byte[] NOTHING = {};

    /** What a caller's connection has in calls. */
    private static final class Held {
        int open;
        int standing;
        /** Whether a call of its ever stood. */
        boolean served;
    }

    /** A release that found no connection to its caller. */
    private record Unrelayed(CallerPort own, Ending how, Instant at) { }

    private static final class Server {
        final ServerPort port;
        ServerLine line;
        /** Calls that stand there. */
        int standing;

        Server(ServerLine line, ServerPort port) {
            this.line = line;
            this.port = port;
        }
    }

    private static final class Call {
        final SetUp asked;
        final Instant deadline;
        CallerPort caller;
        Scheduler.Timer guard;
        int attempts;
        /** Where its attempt is out, or where it stands; null between attempts. */
        Server server;
        Instant sentAt;
        Instant notBefore = Instant.MIN;
        Scheduler.Timer patience;
        boolean standing;
        boolean mayHaveRun;

        Call(SetUp asked, Instant deadline, CallerPort caller) {
            this.asked = asked;
            this.deadline = deadline;
            this.caller = caller;
        }
    }

    public CallController(Settings settings, long seed, Scheduler scheduler, ServerPorts ports) {
        this.settings = settings.withClearWait(settings.rules().clearWait().plus(CLEAR_MARGIN));
        this.scheduler = scheduler;
        this.ports = ports;
        this.module = new Logic(this.settings, seed, new ModuleActions());
    }

    public Counters counters() {
        return counters;
    }

    public Settings settings() {
        return settings;
    }

    /** Calls that still wait for their final answer. */
    public long openCalls() {
        return calls.values().stream().filter(call -> !call.standing).count();
    }

    /** Calls that stand. */
    public long standingCalls() {
        return calls.size() - openCalls();
    }

    // ---- from callers

    /** A caller can be reached; what found none to go to goes there. */
    public void callerOpened(CallerPort caller) {
        callers.put(caller, new Held());
        unrelayed.entrySet().removeIf(waiting -> {
            boolean reached = caller.reaches(waiting.getValue().own());
            if (reached) {
                caller.release(waiting.getKey(), waiting.getValue().how());
            }
            return reached;
        });
    }

    /** A caller's connection has ended: its open set-ups are given up; calls that stand are tied to none. */
    public void callerClosed(CallerPort caller) {
        Held held = callers.remove(caller);
        if (held != null && held.open > 0) {
            List<Call> left = calls.values().stream().filter(c -> c.caller == caller && !c.standing).toList();
            left.forEach(this::leave);
        }
    }

    /** Set-ups of a caller's connection that wait for their final answer. */
    public int openOn(CallerPort caller) {
        return callers.containsKey(caller) ? callers.get(caller).open : 0;
    }

    /** Whether this call waits for its final answer, and it goes to this caller. */
    public boolean isOpenOn(String id, CallerPort caller) {
        Call call = calls.get(id);
        return call != null && !call.standing && call.caller == caller;
    }

    /** Calls that stand and were set up on a caller's connection. */
    public int standingOn(CallerPort caller) {
        return callers.containsKey(caller) ? callers.get(caller).standing : 0;
    }

    /** Whether a call of this caller's connection ever stood. */
    public boolean served(CallerPort caller) {
        return callers.containsKey(caller) && callers.get(caller).served;
    }

    /**
     * A caller asks for a call; the final answer goes to the port. False: a call with this id is open or stands.
     * Guards that call against whoever else uses its id: its answer would go to them.
     */
    public boolean setUp(SetUp setUp, CallerPort caller) {
        if (calls.containsKey(setUp.id())) {
            return false;
        }
        counters.count(Name.SET_UPS);
        Instant now = scheduler.now();
        // The caller's wait runs from when it sent the set-up: what an own stall held up came earlier.
        Duration left = setUp.patience().minus(scheduler.lag());
        Call call = new Call(setUp, now.plus(left), caller);
        calls.put(setUp.id(), call);
        trace(setUp.id(), "taken, answer due in {0} ms, lag {1} ms", left, scheduler.lag());
        held(caller).open++;
        // Guards rule one whatever the module does: at the deadline an open call is answered.
        call.guard = scheduler.after(left, () -> answerOverdue(call));
        tell(at -> module.arrived(at, new Gateway.Call(setUp.id(), setUp.callClass(), setUp.number(),
                Millis.of(Duration.between(scheduler.now(), call.deadline)), setUp.firstChoice(), false)));
        return true;
    }

    /**
     * The same set-up comes once more from the same caller over another connection; its answer goes there from now
     * on. False where it is not the same, or not open.
     */
    public boolean takeOver(SetUp again, CallerPort caller) {
        Call call = calls.get(again.id());
        if (call == null || call.standing || !caller.reaches(call.caller)
                || !Arrays.equals(call.asked.description(), again.description())) {
            return false;
        }
        held(call.caller).open--;
        held(caller).open++;
        call.caller.takenOver(again.id());
        call.caller = caller;
        return true;
    }

    /** What the connection of a caller has; one that has ended counts for nothing. */
    private Held held(CallerPort caller) {
        Held held = callers.get(caller);
        return held == null ? new Held() : held;
    }

    private void answerOverdue(Call call) {
        if (calls.get(call.asked.id()) == call && !call.standing) {
            counters.count(Name.GUARD_ANSWERED);
            trace(call.asked.id(), "overdue by {0} ms, refused by the guard",
                    Duration.between(call.deadline, scheduler.now()));
            CallerPort caller = call.caller;
            leave(call);
            caller.refuse(call.asked.id(), Duration.ZERO);
        }
    }

    /**
     * A caller gives a set-up up, or releases a call that stands: which of the two, its state tells. False: no such
     * call is known, or it is open on another connection, which alone may give it up, or another caller's.
     */
    public boolean callerReleased(String id, byte[] content, CallerPort from) {
        Call call = calls.get(id);
        if (call == null || (call.standing ? !from.reaches(call.caller) : call.caller != from)) {
            return false;
        }
        if (call.standing) {
            counters.count(Name.RELEASED_BY_CALLER);
            remove(call);
            call.server.port.release(id, Ending.COMPLETED, content);
            report(call, Ending.CANCELLED, true);
        } else {
            leave(call);
        }
        return true;
    }

    /** Whether a call stands. */
    public boolean stands(String id) {
        Call call = calls.get(id);
        return call != null && call.standing;
    }

    /** A caller has something for the server of a call that stands; false where it can't be passed on now. */
    public boolean pass(String id, byte[] content) {
        return stands(id) && calls.get(id).server.port.pass(id, content);
    }

    /** A server answered what was passed on. */
    public void passedBack(long serverId, String id, byte[] content) {
        if (stands(id) && calls.get(id).server == servers.get(serverId)) {
            calls.get(id).caller.passBack(id, content);
        }
    }

    /** A caller releases a call that is not known: one from before this program's start, at whichever server. */
    public void releaseEverywhere(String id) {
        if (!over.containsKey(id) && !calls.containsKey(id)) {
            servers.values().stream().filter(server -> server.line.mode() != Mode.GONE)
                    .forEach(server -> server.port.releaseUnknown(id));
        }
    }

    /** The caller no longer waits: no answer is owed, and an attempt that is out is given up. */
    private void leave(Call call) {
        trace(call.asked.id(), "left by its caller");
        counters.count(Name.GIVEN_UP_BY_CALLER);
        call.guard.cancel();
        remove(call);
        tell(at -> module.left(at, call.asked.id()));
        if (call.server != null) {
            giveUpAttempt(call);
            report(call, Ending.CANCELLED, true);
        }
    }

    // ---- from session servers

    /** A server answered: the call stands there, unless its attempt was given up before. */
    public void answered(long serverId, String id, byte[] description) {
        Call call = calls.get(id);
        Server server = servers.get(serverId);
        // A server that has gone from the list has no calls, and a call between attempts has no server: not the same.
        if (call == null || call.standing || server == null || call.server != server) {
            // Guards against a late answer of a given-up attempt: it holds the server's place for nobody.
            if (server != null && (call == null || call.server != server)) {
                counters.count(Name.LATE_ANSWERS);
                server.port.release(id, Ending.CANCELLED, NOTHING);
            }
            return;
        }
        counters.count(Name.STOOD);
        trace(id, "stands at {0} after {1} ms", serverId, Duration.between(call.sentAt, scheduler.now()));
        call.patience.cancel();
        call.guard.cancel();
        call.standing = true;
        server.standing++;
        Held held = held(call.caller);
        held.open--;
        held.standing++;
        held.served = true;
        call.caller.answer(id, description);
        double waited = Millis.of(Duration.between(call.sentAt, scheduler.now()));
        tell(at -> module.stands(at, id, call.attempts - 1, serverId, waited));
    }

    /** A server released a call, before or after its answer; or its connection ended under a set-up. */
    public void released(long serverId, String id, Ending how, Duration statedWait) {
        Call call = calls.get(id);
        Server server = servers.get(serverId);
        if (call == null) {
            if (!over.containsKey(id)) {
                // A call from before this program's start: any caller's connection will do.
                counters.count(Name.RELAYED_UNKNOWN);
                relay(null, id, how);
            }
        } else if (server != null && call.server == server && call.standing) {
            finishStanding(call, how == Ending.COMPLETED ? how : Ending.RESET);
        } else if (server != null && call.server == server) {
            call.patience.cancel();
            report(call, how == Ending.COMPLETED ? Ending.ERROR : how, false, statedWait);
        }
    }

    /** A server told of its free lines and of all its lines. */
    public void linesTold(long serverId, double free, double size) {
        if (servers.containsKey(serverId)) {
            tell(at -> module.reported(at, serverId, new Gateway.Report(free, size, Double.NaN, Double.NaN,
                    Double.NaN, Double.NaN)));
        }
    }

    /** A server's process is gone, and with it all calls that stood there. */
    public void serverDied(long serverId) {
        Server server = servers.get(serverId);
        if (server != null) {
            cutAll(server);
        }
    }

    private void cutAll(Server server) {
        if (server.standing == 0) {
            return;
        }
        List<Call> cut = calls.values().stream().filter(c -> c.standing && c.server == server).toList();
        cut.forEach(call -> finishStanding(call, Ending.RESET));
    }

    /** Whether calls stand at a server. */
    public boolean standsAt(long serverId) {
        Server server = servers.get(serverId);
        return server != null && server.standing > 0;
    }

    private void finishStanding(Call call, Ending how) {
        counters.count(how == Ending.COMPLETED ? Name.RELEASED_BY_SERVER : Name.CUT);
        remove(call);
        relay(call.caller, call.asked.id(), how);
        report(call, how, true);
    }

    /** Releases towards the call's own connection, else the latest on which calls stood, else any, else the next. */
    private void relay(CallerPort own, String id, Ending how) {
        CallerPort way = callers.containsKey(own) ? own : null;
        if (way == null) {
            List<CallerPort> reaching = callers.keySet().stream().filter(caller -> caller.reaches(own)).toList();
            // Guards releases against connections that were opened and never used: nobody may be listening there.
            way = reaching.stream().filter(this::served).reduce((a, b) -> b)
                    .or(() -> reaching.stream().reduce((a, b) -> b)).orElse(null);
        }
        if (way != null) {
            way.release(id, how);
        } else {
            Instant now = scheduler.now();
            unrelayed.put(id, new Unrelayed(own, how, now));
            forget(unrelayed.values().iterator(), waiting -> waiting.at().plus(OVER_MEMORY).isBefore(now),
                    unrelayed.size());
        }
    }

    // ---- the list of servers

    /** The list arrived: the whole of it, or the changed lines alone. */
    public void listed(boolean whole, List<ServerLine> lines) {
        // The module hears of the change before anything comes back from it, or it would choose the same again.
        List<Runnable> consequences = new ArrayList<>();
        if (whole) {
            Set<Long> named = new HashSet<>();
            lines.forEach(line -> named.add(line.id()));
            servers.values().stream().filter(s -> !named.contains(s.line.id()))
                    .forEach(server -> goneFromList(server, consequences));
        }
        List<Gateway.Listed> told = new ArrayList<>();
        for (ServerLine line : lines) {
            told.add(new Gateway.Listed(line.id(), line.cell(), line.mode(),
                    line.startedAt().equals(Instant.EPOCH) ? 0 : Millis.of(line.startedAt()), line.weight()));
            change(line, consequences);
        }
        // Ahead of what was put off: that is decided by what the list says now.
        deferred.addFirst(() -> module.listed(timeOfModule(), whole, told));
        handOver();
        consequences.forEach(Runnable::run);
    }

    private void change(ServerLine line, List<Runnable> consequences) {
        Server server = servers.get(line.id());
        boolean moved = server != null && !server.line.address().equals(line.address());
        if (server != null && line.startedAt().isAfter(server.line.startedAt())) {
            Server restarted = server;
            consequences.add(() -> cutAll(restarted));   // what stood at the old process went with it
        }
        if (server != null && (server.line.mode() == Mode.GONE || moved)) {
            goneFromList(server, consequences);
            servers.remove(line.id());
            server = null;
        }
        if (server == null) {
            if (line.mode() == Mode.GONE) {
                return;
            }
            server = new Server(line, ports.apply(line));
            servers.put(line.id(), server);
        }
        server.line = line;
        if (line.mode() == Mode.GONE) {
            goneFromList(server, consequences);
        } else if (line.mode() == Mode.DRAINING) {
            consequences.add(server.port::drain);
        }
    }

    /** Guards against calls left standing at a machine that went without a word. */
    private void goneFromList(Server server, List<Runnable> consequences) {
        ServerLine line = server.line;
        server.line = new ServerLine(line.id(), line.address(), Mode.GONE, line.cell(), line.weight(),
                line.startedAt());
        consequences.add(() -> {
            server.port.close();
            cutAll(server);
            servers.remove(line.id(), server);   // servers come under new ids: those that have gone are not kept
        });
    }

    // ---- the module

    /** Hands the module an event; what its actions bring about is handed over after it, never within. */
    private void tell(Consumer<Double> event) {
        deferred.add(() -> event.accept(timeOfModule()));
        handOver();
    }

    /**
     * Guards rule three after an own stall: the callers' set-ups and the news of the bus have waited side by side, and
     * a set-up that is decided first goes where the news forbids it. So nothing is decided before the loop has read
     * all that waited.
     */
    private void handOver() {
        if (inModule || putOff) {
            return;
        }
        if (scheduler.lag().compareTo(STALLED) > 0) {
            putOff();
        } else {
            decide();
        }
    }

    private double timeOfModule() {
        moduleTime = Math.max(moduleTime, Millis.of(scheduler.now()));
        return moduleTime;
    }

    private void putOff() {
        putOff = true;
        scheduler.after(Duration.ZERO, () -> {
            putOff = false;
            decide();
        });
    }

    private void decide() {
        Instant until = scheduler.now().plus(MOST_AT_ONCE);
        inModule = true;
        try {
            for (Runnable next = deferred.poll(); next != null; next = deferred.poll()) {
                next.run();
                if (!deferred.isEmpty() && scheduler.now().isAfter(until)) {
                    putOff();
                    return;
                }
            }
        } finally {
            inModule = false;
        }
    }

    /** Tells the module how the call's attempt ended; the call is then free for another. */
    private void report(Call call, Ending how, boolean closed) {
        report(call, how, closed, Duration.ZERO);
    }

    private void report(Call call, Ending how, boolean closed, Duration statedWait) {
        Server server = call.server;
        call.server = null;
        trace(call.asked.id(), "attempt at {0} ended: {1}", server.line.id(), how);
        if (!call.standing) {
            counters.count(switch (how) {
                case TIMED_OUT -> Name.ATTEMPTS_TIMED_OUT;
                case CANCELLED -> Name.ATTEMPTS_CANCELLED;
                case REJECTED, NO_FREE_LINE -> Name.ATTEMPTS_TURNED_AWAY;
                case UNREACHABLE -> Name.ATTEMPTS_UNREACHABLE;
                case RESET -> Name.ATTEMPTS_RESET;
                case NOT_SENT -> Name.ATTEMPTS_NOT_SENT;
                default -> Name.ATTEMPTS_IN_ERROR;
            });
        }
        call.mayHaveRun |= how == Ending.TIMED_OUT || how == Ending.RESET || how == Ending.CANCELLED;
        if (how == Ending.TIMED_OUT || how == Ending.RESET || how == Ending.CANCELLED) {
            call.notBefore = scheduler.now().plus(settings.rules().clearWait().minus(CLEAR_MARGIN));
        }
        double waited = Millis.of(Duration.between(call.sentAt, scheduler.now()));
        int attempt = call.attempts - 1;
        tell(at -> module.ended(at, new Gateway.Ended(call.asked.id(), attempt, server.line.id(), how, closed,
                waited, Millis.of(statedWait), null)));
    }

    private void giveUpAttempt(Call call) {
        call.patience.cancel();
        call.server.port.giveUp(call.asked.id());
    }

    /** Takes a call off the table; it is remembered as over for a while. */
    private void remove(Call call) {
        calls.remove(call.asked.id());
        Held held = held(call.caller);
        held.open -= call.standing ? 0 : 1;
        held.standing -= call.standing ? 1 : 0;
        if (call.standing) {
            call.server.standing--;
        }
        Instant now = scheduler.now();
        over.put(call.asked.id(), now);
        forget(over.values().iterator(), at -> at.plus(OVER_MEMORY).isBefore(now), over.size());
    }

    /** Guards memory against days of any length and callers of any number: the oldest go first. */
    private static <T> void forget(Iterator<T> oldestFirst, Predicate<T> stale, int size) {
        for (int left = size; left > 0 && (stale.test(oldestFirst.next()) || left > MOST_REMEMBERED); left--) {
            oldestFirst.remove();
        }
    }

    private static void trace(String id, String text, Object... values) {
        if (TRACE.isLoggable(Level.DEBUG)) {
            Object[] plain = Arrays.stream(values).map(value -> value instanceof Duration span
                    ? Long.toString(span.toMillis()) : value instanceof Long server ? Long.toHexString(server) : value)
                    .toArray();
            TRACE.log(Level.DEBUG, "call " + id + ": " + text, plain);
        }
    }

    /** How much is kept, of whatever kind: it must not grow with the length of the day. */
    public int kept() {
        return calls.size() + servers.size() + over.size() + callers.size() + unrelayed.size();
    }

    /** Carries out what the module asks for. */
    private final class ModuleActions implements Gateway.Actions {

        @Override
        public void send(String id, long serverId, double giveUpAfterMs) {
            Call call = calls.get(id);
            if (call == null) {
                return;   // its end was reported, and waits for its turn
            }
            Server server = servers.get(serverId);
            Instant now = scheduler.now();
            int attempt = call.attempts++;
            // Guards the rules whatever the module does: one attempt at a time, none too soon, none too many,
            // none to a server that drains or is gone.
            if (call.standing || call.server != null || now.isBefore(call.notBefore)
                    || attempt >= settings.maxAttempts() || server == null
                    || server.line.mode() != Mode.RUNNING) {
                counters.count(Name.GUARD_NOT_SENT);
                tell(at -> module.ended(at, new Gateway.Ended(id, attempt, serverId, Ending.NOT_SENT, false, 0,
                        0, null)));
                return;
            }
            counters.count(Name.ATTEMPTS);
            trace(id, "sent to {0}", serverId);
            Duration left = Duration.between(now, call.deadline);
            Duration patience = giveUpAfterMs > 0 ? Millis.span(giveUpAfterMs) : left;
            patience = patience.compareTo(left) < 0 ? patience : left;
            call.server = server;
            call.sentAt = now;
            call.patience = scheduler.after(patience, () -> timedOut(call, attempt));
            server.port.setUp(call.asked, patience, call.mayHaveRun);
        }

        private void timedOut(Call call, int attempt) {
            if (call.server != null && !call.standing && call.attempts - 1 == attempt) {
                giveUpAttempt(call);
                report(call, Ending.TIMED_OUT, false);
            }
        }

        @Override
        public void refuse(String id, double adviseMs) {
            finish(id, Name.REFUSED, caller -> caller.refuse(id, Millis.span(adviseMs)));
        }

        @Override
        public void fail(String id) {
            finish(id, Name.FAILED, caller -> caller.fail(id));
        }

        /** The one place where the module's final answers leave; a call that is not open has had its own. */
        private void finish(String id, Name counted, Consumer<CallerPort> answer) {
            Call call = calls.get(id);
            if (call != null && !call.standing) {
                counters.count(counted);
                trace(id, "final answer: {0}", counted);
                call.guard.cancel();
                if (call.server != null) {
                    giveUpAttempt(call);
                }
                remove(call);
                answer.accept(call.caller);
            }
        }

        @Override
        public void cancel(String id, int attempt) {
            Call call = calls.get(id);
            if (call != null && !call.standing && call.server != null && call.attempts - 1 == attempt) {
                giveUpAttempt(call);
                report(call, Ending.CANCELLED, false);
            }
        }

        @Override
        public void wakeAfter(double delayMs) {
            // Guards against a timer that is early by the clock's grain: the module would take it for another bell,
            // and wait for one that never comes.
            double due = moduleTime + delayMs;
            scheduler.after(Millis.span(delayMs), () -> tell(at -> {
                moduleTime = Math.max(at, due);
                module.woken(moduleTime);
            }));
        }

        @Override
        public void askForList() {
            // The list is pushed here; there is nobody to ask.
        }
    }
}
