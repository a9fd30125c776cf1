package pathlane.core;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
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

    /** Added to the rule's wait after a give-up: the give-up may reach its server later than the resend. */
    private static final Duration CLEAR_MARGIN = Duration.ofMillis(15);
    /** A call that waits for its service's servers is answered so long before its deadline. */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(5);
    private final Settings settings;
    private final Scheduler scheduler;
    private final ServerPorts ports;
    private final long seed;
    private final ServiceDirectory directory;
    private final Map<String, Service> services = new HashMap<>();
    private final Counters counters = new Counters();
    private final Map<String, Call> calls = new HashMap<>();
    private final Map<Long, Server> servers = new TreeMap<>();
    private final Callers callers;
    private final CallReplication replication;
    private final Turns turns;
    private final Departed gone = new Departed();
    private static final byte[] NOTHING = {};

    private static final class Server {
        final Service service;
        final ServerPort port;
        ServerLine line;
        /** Calls that stand there. */
        int standing;

        Server(Service service, ServerLine line, ServerPort port) {
            this.service = service;
            this.line = line;
            this.port = port;
        }
    }

    private static final class Call {
        final Service service;
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
        /** Set up by another controller: the module never heard of it. */
        boolean adopted;

        Call(Service service, SetUp asked, Instant deadline, CallerPort caller) {
            this.service = service;
            this.asked = asked;
            this.deadline = deadline;
            this.caller = caller;
        }
    }

    /** One that is in no group. */
    public CallController(Settings settings, long seed, Scheduler scheduler, ServerPorts ports) {
        this(settings, seed, scheduler, ports, CallReplication.NONE);
    }

    /** {@code replication} keeps what another controller would need. */
    public CallController(Settings settings, long seed, Scheduler scheduler, ServerPorts ports,
            CallReplication replication) {
        this(settings, seed, scheduler, ports, replication, ServiceDirectory.ONE);
    }

    /** The same, with calls and servers of several services. */
    public CallController(Settings settings, long seed, Scheduler scheduler, ServerPorts ports,
            CallReplication replication, ServiceDirectory directory) {
        this.replication = replication;
        this.seed = seed;
        this.directory = directory;
        this.callers = new Callers(scheduler);
        this.turns = new Turns(scheduler);
        this.settings = settings.withClearWait(settings.rules().clearWait().plus(CLEAR_MARGIN));
        this.scheduler = scheduler;
        this.ports = ports;
        if (directory == ServiceDirectory.ONE) {
            service(ServiceDirectory.ONLY_SERVICE);   // at the start, not at the first call
        }
    }

    private Service service(String name) {
        return services.computeIfAbsent(name, one -> {
            ModuleActions actions = new ModuleActions();
            // Each service has its own chances; for the only service it is the seed itself.
            actions.service = new Service(one, new Logic(settings, seed ^ one.hashCode(), actions));
            return actions.service;
        });
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
        callers.opened(caller, replication::over);
    }

    /** A caller's connection has ended: its open set-ups are given up; calls that stand are tied to none. */
    public void callerClosed(CallerPort caller) {
        if (callers.closed(caller).open > 0) {
            List<Call> left = calls.values().stream().filter(c -> c.caller == caller && !c.standing).toList();
            left.forEach(this::leave);
        }
    }

    /** Set-ups of a caller's connection that wait for their final answer. */
    public int openOn(CallerPort caller) {
        return callers.held(caller).open;
    }

    /** Whether this call waits for its final answer, and it goes to this caller. */
    public boolean isOpenOn(String id, CallerPort caller) {
        Call call = calls.get(id);
        return call != null && !call.standing && call.caller == caller;
    }

    /** Calls that stand and were set up on a caller's connection. */
    public int standingOn(CallerPort caller) {
        return callers.held(caller).standing;
    }

    /** Whether a call of this caller's connection ever stood. */
    public boolean served(CallerPort caller) {
        return callers.held(caller).served;
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
        Optional<String> service = directory.serviceOf(setUp);
        if (service.isEmpty()) {
            counters.count(Name.FAILED);
            CallTrace.step(setUp.id(), "failed: of no known service");
            caller.fail(setUp.id());
            return true;
        }
        Call call = new Call(service(service.get()), setUp, now.plus(left), caller);
        call.service.calls++;
        calls.put(setUp.id(), call);
        CallTrace.step(setUp.id(), "taken, answer due in {0} ms, lag {1} ms", left, scheduler.lag());
        callers.held(caller).open++;
        // Guards rule one whatever the module does: at the deadline an open call is answered.
        call.guard = scheduler.after(left, () -> answerOverdue(call));
        Duration heldBack = replication.heldBack(setUp.id());
        if (heldBack.isZero()) {
            arrived(call);
        } else {
            scheduler.after(heldBack, () -> arrived(call));
        }
        return true;
    }

    private void arrived(Call call) {
        if (calls.get(call.asked.id()) != call) {
            return;
        }
        if (directory.use(call.service.name)) {
            decide(call);
        } else {
            Duration left = Duration.between(scheduler.now(), call.deadline).minus(ANSWER_MARGIN);
            directory.await(call.service.name, left, () -> decide(call), after -> refuseUndecided(call, after));
        }
    }

    /** The servers of a call's service did not become known in time. */
    private void refuseUndecided(Call call, Duration comeBackAfter) {
        if (calls.get(call.asked.id()) == call) {
            counters.count(Name.REFUSED);
            CallTrace.step(call.asked.id(), "refused: the servers of {0} are not known yet", call.service.name);
            call.guard.cancel();
            remove(call);
            call.caller.refuse(call.asked.id(), comeBackAfter);
        }
    }

    private void decide(Call call) {
        SetUp asked = call.asked;
        if (calls.get(asked.id()) == call) {
            turns.tell(at -> call.service.module.arrived(at, new Gateway.Call(asked.id(), asked.callClass(), asked.number(),
                    Millis.of(Duration.between(scheduler.now(), call.deadline)), asked.firstChoice(), false)));
        }
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
        callers.held(call.caller).open--;
        callers.held(caller).open++;
        call.caller.takenOver(again.id());
        call.caller = caller;
        return true;
    }

    private void answerOverdue(Call call) {
        if (calls.get(call.asked.id()) == call && !call.standing) {
            counters.count(Name.GUARD_ANSWERED);
            CallTrace.step(call.asked.id(), "overdue by {0} ms, refused by the guard",
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
        if (call == null) {
            return !callers.isOver(id) && replication.seesTo(new CallEvent.Released(id, content));
        }
        if (call.standing ? !from.reaches(call.caller) : call.caller != from) {
            return false;
        }
        if (call.standing) {
            releaseStanding(call, content);
        } else {
            leave(call);
        }
        return true;
    }

    private void releaseStanding(Call call, byte[] content) {
        String id = call.asked.id();
        if (!replication.mayAct(id)) {
            replication.park(new CallEvent.Released(id, content));
            return;
        }
        counters.count(Name.RELEASED_BY_CALLER);
        remove(call);
        releaseAt(call.server, id, content);
        report(call, Ending.CANCELLED, true);
    }

    private void releaseAt(Server server, String id, byte[] content) {
        server.port.release(id, Ending.COMPLETED, content);
        server.port.waiting(id).ifPresent(ending -> replication.owesServer(id, server.line.id(), ending));
    }

    /** A release that waited for a connection to its server has left. */
    public void releaseLeft(String id) {
        replication.over(id);
    }

    /** Whether a call stands. */
    public boolean stands(String id) {
        Call call = calls.get(id);
        return call != null && call.standing;
    }

    /** A caller has something for the server of a call that stands; false where it can't be passed on now. */
    public boolean pass(String id, byte[] content) {
        return stands(id) && replication.mayAct(id) && calls.get(id).server.port.pass(id, content);
    }

    /** A server answered what was passed on. */
    public void passedBack(long serverId, String id, byte[] content) {
        if (stands(id) && calls.get(id).server == servers.get(serverId) && replication.mayAct(id)) {
            calls.get(id).caller.passBack(id, content);
        }
    }

    /** A caller releases a call that is not known: one from before this program's start, at whichever server. */
    public void releaseEverywhere(String id) {
        if (!callers.isOver(id) && !calls.containsKey(id)) {
            servers.values().stream().filter(server -> server.line.mode() != Mode.GONE)
                    .forEach(server -> server.port.releaseUnknown(id));
        }
    }

    /** The caller no longer waits: no answer is owed, and an attempt that is out is given up. */
    private void leave(Call call) {
        CallTrace.step(call.asked.id(), "left by its caller");
        counters.count(Name.GIVEN_UP_BY_CALLER);
        call.guard.cancel();
        remove(call);
        turns.tell(at -> call.service.module.left(at, call.asked.id()));
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
        CallTrace.step(id, "stands at {0} after {1} ms", serverId, Duration.between(call.sentAt, scheduler.now()));
        call.patience.cancel();
        call.guard.cancel();
        call.standing = true;
        server.standing++;
        Callers.Held held = callers.held(call.caller);
        held.open--;
        held.standing++;
        held.served = true;
        replication.stands(id, serverId, call.caller);
        replication.answer(id, call.asked.callClass(), () -> call.caller.answer(id, description));
        double waited = Millis.of(Duration.between(call.sentAt, scheduler.now()));
        turns.tell(at -> call.service.module.stands(at, id, call.attempts - 1, serverId, waited));
    }

    /** A server released a call, before or after its answer; or its connection ended under a set-up. */
    public void released(long serverId, String id, Ending how, Duration statedWait) {
        Call call = calls.get(id);
        Server server = servers.get(serverId);
        if (call == null) {
            CallEvent.Ended event = new CallEvent.Ended(id, how);
            if (!callers.isOver(id) && !replication.seesTo(event)) {
                unowned(event);
            }
        } else if (server != null && call.server == server && call.standing) {
            finishStanding(call, how == Ending.COMPLETED ? how : Ending.RESET);
        } else if (server != null && call.server == server) {
            call.patience.cancel();
            report(call, how == Ending.COMPLETED ? Ending.ERROR : how, false, statedWait);
        }
    }

    /** Something happened to a call that nobody acts on: one from before this program's start. */
    public void unowned(CallEvent event) {
        if (event instanceof CallEvent.Ended ended) {
            counters.count(Name.RELAYED_UNKNOWN);
            relay(null, ended.call(), ended.how());   // any caller's connection will do
        } else {
            releaseEverywhere(event.call());
        }
    }

    /** Something happened to a call, and this controller acts on it: it heard of it late, or by another one. */
    public void happened(CallEvent event) {
        Call call = calls.get(event.call());
        if (call != null && call.standing) {
            if (event instanceof CallEvent.Released released) {
                releaseStanding(call, released.content());
            } else {
                finishStanding(call, ((CallEvent.Ended) event).how());
            }
        }
    }

    // ---- from another controller of the group

    /** Goes on with a call that stands at a server; false where the list does not name the server. */
    public boolean adopt(String id, long serverId, CallerPort caller, byte[] ending) {
        Server server = servers.get(serverId);
        if (calls.containsKey(id) || server == null || server.line.mode() == Mode.GONE) {
            return calls.containsKey(id);
        }
        Call call = new Call(server.service, new SetUp(id, -1, "", Duration.ZERO, -1, NOTHING), scheduler.now(), caller);
        call.adopted = true;
        call.standing = true;
        call.server = server;
        call.service.calls++;
        server.standing++;
        calls.put(id, call);
        counters.count(Name.ADOPTED);
        CallTrace.step(id, "adopted at {0}", serverId);
        replication.stands(id, serverId, caller);
        server.port.adopted(id, ending);
        return true;
    }

    /** Another controller acts on this call from now on. */
    public void disown(String id) {
        Call call = calls.get(id);
        if (call != null && call.standing) {
            CallTrace.step(id, "disowned");
            counters.count(Name.DISOWNED);
            takeOff(call);
        }
        callers.forget(id);
    }

    /** A call's end is owed to its caller by a controller that is gone. */
    public void owedToCaller(String id, CallerPort caller, Ending how) {
        callers.over(id);
        relay(caller, id, how);
    }

    /** Whether the list had this server, and it has gone. */
    public boolean hasGone(long serverId) {
        return gone.contains(serverId);
    }

    /** A call's release is owed to its server by a controller that is gone. */
    public void owedToServer(String id, long serverId, byte[] ending) {
        Server server = servers.get(serverId);
        if (server != null) {
            server.port.adopted(id, ending);
            releaseAt(server, id, NOTHING);
        }
    }

    /** A server told of its free lines and of all its lines. */
    public void linesTold(long serverId, double free, double size) {
        Server server = servers.get(serverId);
        if (server != null) {
            turns.tell(at -> server.service.module.reported(at, serverId, new Gateway.Report(free, size, Double.NaN,
                    Double.NaN, Double.NaN, Double.NaN)));
        }
    }

    /**
     * All calls that stood at a server are cut: its process is gone or, where that is not certain, can't be reached.
     * Guards calls against standing there for good: they are released should it be reached after all.
     */
    public void serverDied(long serverId, boolean isCertain) {
        Server server = servers.get(serverId);
        for (Call call : server == null ? List.<Call>of() : standingAt(server)) {
            if (isCertain || replication.mayAct(call.asked.id())) {
                finishStanding(call, Ending.RESET);
                if (!isCertain) {
                    releaseAt(server, call.asked.id(), NOTHING);
                }
            }
        }
    }

    private List<Call> standingAt(Server server) {
        return server.standing == 0 ? List.of()
                : calls.values().stream().filter(c -> c.standing && c.server == server).toList();
    }

    private void cutAll(Server server) {
        standingAt(server).forEach(call -> finishStanding(call, Ending.RESET));
    }

    /** Whether calls stand at a server. */
    public boolean standsAt(long serverId) {
        Server server = servers.get(serverId);
        return server != null && server.standing > 0;
    }

    private void finishStanding(Call call, Ending how) {
        String id = call.asked.id();
        if (!replication.mayAct(id)) {
            replication.park(new CallEvent.Ended(id, how));
            return;
        }
        counters.count(how == Ending.COMPLETED ? Name.RELEASED_BY_SERVER : Name.CUT);
        remove(call);
        relay(call.caller, id, how);
        report(call, how, true);
    }

    private void relay(CallerPort own, String id, Ending how) {
        if (!callers.relay(own, id, how)) {
            replication.owesCaller(id, own, how);
        }
    }

    // ---- the list of servers

    /** The list arrived: the whole of it, or the changed lines alone. */
    public void listed(boolean whole, List<ServerLine> lines) {
        listed(ServiceDirectory.ONLY_SERVICE, whole, lines);
    }

    /**
     * The servers of a service: all of them, or the changed lines alone. A server belongs to the service that named it
     * first, until that has let it go.
     */
    public void listed(String serviceName, boolean whole, List<ServerLine> all) {
        Service service = service(serviceName);
        // Guards a service's calls against another's servers, where two name the same.
        List<ServerLine> lines = all.stream().filter(line -> !isOfAnother(line.id(), service)).toList();
        // The module hears of the change before anything comes back from it, or it would choose the same again.
        List<Runnable> consequences = new ArrayList<>();
        if (whole) {
            Set<Long> named = new HashSet<>();
            lines.forEach(line -> named.add(line.id()));
            servers.values().stream().filter(s -> s.service == service && !named.contains(s.line.id()))
                    .forEach(server -> goneFromList(server, consequences));
        }
        List<Gateway.Listed> told = new ArrayList<>();
        for (ServerLine line : lines) {
            told.add(new Gateway.Listed(line.id(), line.cell(), line.mode(),
                    line.startedAt().equals(Instant.EPOCH) ? 0 : Millis.of(line.startedAt()), line.weight()));
            change(service, line, consequences);
        }
        turns.tellFirst(at -> service.module.listed(at, whole, told));
        consequences.forEach(Runnable::run);
    }

    private boolean isOfAnother(long serverId, Service service) {
        Server server = servers.get(serverId);
        return server != null && server.service != service;
    }

    /**
     * Forgets a service and its servers, which have not gone but are not followed any more.
     *
     * @return false where calls of it are open or stand: it is kept
     */
    public boolean forget(String serviceName) {
        Service service = services.get(serviceName);
        if (service == null) {
            return true;
        }
        if (service.calls > 0) {
            return false;
        }
        List<Server> left = servers.values().stream().filter(server -> server.service == service).toList();
        left.forEach(server -> {
            servers.remove(server.line.id());
            server.port.close();
        });
        services.remove(serviceName);
        return true;
    }

    private void change(Service service, ServerLine line, List<Runnable> consequences) {
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
            server = new Server(service, line, ports.apply(line));
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
            gone.add(line.id());
            servers.remove(line.id(), server);   // servers come under new ids: those that have gone are not kept
        });
    }

    // ---- the module

    /** Tells the module how the call's attempt ended; the call is then free for another. */
    private void report(Call call, Ending how, boolean closed) {
        report(call, how, closed, Duration.ZERO);
    }

    private void report(Call call, Ending how, boolean closed, Duration statedWait) {
        Server server = call.server;
        call.server = null;
        if (call.adopted) {
            return;
        }
        CallTrace.step(call.asked.id(), "attempt at {0} ended: {1}", server.line.id(), how);
        if (!call.standing) {
            counters.count(Name.ofAttempt(how));
        }
        call.mayHaveRun |= how == Ending.TIMED_OUT || how == Ending.RESET || how == Ending.CANCELLED;
        if (how == Ending.TIMED_OUT || how == Ending.RESET || how == Ending.CANCELLED) {
            call.notBefore = scheduler.now().plus(settings.rules().clearWait().minus(CLEAR_MARGIN));
        }
        if (!closed && !call.standing) {
            Duration wait = Duration.between(scheduler.now(), call.notBefore);
            replication.attemptOver(call.asked.id(), server.line.id(), wait.isNegative() ? Duration.ZERO : wait,
                    call.caller);
        }
        double waited = Millis.of(Duration.between(call.sentAt, scheduler.now()));
        int attempt = call.attempts - 1;
        turns.tell(at -> call.service.module.ended(at, new Gateway.Ended(call.asked.id(), attempt, server.line.id(), how,
                closed, waited, Millis.of(statedWait), null)));
    }

    private void giveUpAttempt(Call call) {
        call.patience.cancel();
        call.server.port.giveUp(call.asked.id());
    }

    /** Takes a call off the table; it is remembered as over for a while. */
    private void remove(Call call) {
        takeOff(call);
        callers.over(call.asked.id());
        replication.over(call.asked.id());
    }

    private void takeOff(Call call) {
        calls.remove(call.asked.id());
        call.service.calls--;
        Callers.Held held = callers.held(call.caller);
        held.open -= call.standing ? 0 : 1;
        held.standing -= call.standing ? 1 : 0;
        if (call.standing) {
            call.server.standing--;
        }
    }

    /** How much is kept, of whatever kind: it must not grow with the length of the day. */
    public int kept() {
        return calls.size() + servers.size() + callers.kept();
    }

    /** Carries out what the module asks for. */
    private final class ModuleActions implements Gateway.Actions {

        private Service service;

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
            // none to a server that drains, is gone, or is another service's.
            if (call.standing || call.server != null || now.isBefore(call.notBefore)
                    || attempt >= settings.maxAttempts() || server == null
                    || server.line.mode() != Mode.RUNNING || server.service != service) {
                counters.count(Name.GUARD_NOT_SENT);
                turns.tell(at -> service.module.ended(at, new Gateway.Ended(id, attempt, serverId, Ending.NOT_SENT, false, 0,
                        0, null)));
                return;
            }
            counters.count(Name.ATTEMPTS);
            CallTrace.step(id, "sent to {0}", serverId);
            Duration left = Duration.between(now, call.deadline);
            Duration patience = giveUpAfterMs > 0 ? Millis.span(giveUpAfterMs) : left;
            patience = patience.compareTo(left) < 0 ? patience : left;
            call.server = server;
            call.sentAt = now;
            replication.sent(id, serverId, patience, call.caller, () -> server.port.ending(call.asked));
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
                CallTrace.step(id, "final answer: {0}", counted);
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
            turns.wake(delayMs, service.module::woken);
        }

        @Override
        public void askForList() {
            // The list is pushed here; there is nobody to ask.
        }
    }
}
