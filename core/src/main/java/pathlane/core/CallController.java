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
import pathlane.decision.Outcome;
import pathlane.decision.RoutingPolicy;
import pathlane.decision.ServerStatus;
import pathlane.decision.policy.AdaptiveRoutingPolicy;

/**
 * The life of every call, on one thread and without a wire: it owns the table of calls, the attempts and
 * their timers, hands each event to the module, carries out the module's actions, and guards the rules.
 *
 * <p>A call is <em>open</em> until its one final answer, then <em>standing</em> until it is released, or gone.
 */
public final class CallController {

    /** Makes the way to a server when the list first names it. */
    public interface ServerPortFactory extends Function<ServerEndpoint, ServerPort> {}

    /** Added to the rule's wait after a give-up: the give-up may reach its server later than the resend. */
    private static final Duration CLEAR_MARGIN = Duration.ofMillis(15);
    /** A call that waits for its service's servers is answered so long before its deadline. */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(5);
    private final Settings settings;
    private final Scheduler scheduler;
    private final CallController.ServerPortFactory ports;
    private final long seed;
    private final ServiceDirectory directory;
    private final Map<String, Service> services = new HashMap<>();
    private final Counters counters = new Counters();
    private final Map<String, Call> calls = new HashMap<>();
    private final Map<Long, Server> servers = new TreeMap<>();
    private final ClientConnections callers;
    private final CallReplication replication;
    private final PolicyEventQueue turns;
    private final RemovedServers gone = new RemovedServers();
    private static final byte[] NOTHING = {};

    private static final class Server {
        final Service service;
        final ServerPort port;
        ServerEndpoint line;
        /** Calls that stand there. */
        int standing;

        Server(Service service, ServerEndpoint line, ServerPort port) {
            this.service = service;
            this.line = line;
            this.port = port;
        }
    }

    private static final class Call {
        final Service service;
        final CallRequest asked;
        final Instant deadline;
        ClientPort caller;
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

        Call(Service service, CallRequest asked, Instant deadline, ClientPort caller) {
            this.service = service;
            this.asked = asked;
            this.deadline = deadline;
            this.caller = caller;
        }
    }

    /** One that is in no group. */
    public CallController(Settings settings, long seed, Scheduler scheduler, CallController.ServerPortFactory ports) {
        this(settings, seed, scheduler, ports, CallReplication.NONE);
    }

    /** {@code replication} keeps what another controller would need. */
    public CallController(Settings settings, long seed, Scheduler scheduler, CallController.ServerPortFactory ports,
            CallReplication replication) {
        this(settings, seed, scheduler, ports, replication, ServiceDirectory.ONE);
    }

    /** The same, with calls and servers of several services. */
    public CallController(Settings settings, long seed, Scheduler scheduler, CallController.ServerPortFactory ports,
            CallReplication replication, ServiceDirectory directory) {
        this.replication = replication;
        this.seed = seed;
        this.directory = directory;
        this.callers = new ClientConnections(scheduler);
        this.turns = new PolicyEventQueue(scheduler);
        this.settings = settings.withRetryDelay(settings.rules().retryDelay().plus(CLEAR_MARGIN));
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
            actions.service = new Service(one, new AdaptiveRoutingPolicy(settings, seed ^ one.hashCode(), actions));
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
    public long establishedCalls() {
        return calls.size() - openCalls();
    }

    // ---- from callers

    /** A caller can be reached; what found none to go to goes there. */
    public void clientConnected(ClientPort caller) {
        callers.opened(caller, replication::callCompleted);
    }

    /** A caller's connection has ended: its open set-ups are given up; calls that stand are tied to none. */
    public void clientDisconnected(ClientPort caller) {
        if (callers.closed(caller).open > 0) {
            List<Call> left = calls.values().stream().filter(c -> c.caller == caller && !c.standing).toList();
            left.forEach(this::leave);
        }
    }

    /** Set-ups of a caller's connection that wait for their final answer. */
    public int openCallsOn(ClientPort caller) {
        return callers.held(caller).open;
    }

    /** Whether this call waits for its final answer, and it goes to this caller. */
    public boolean isOpenOn(String id, ClientPort caller) {
        Call call = calls.get(id);
        return call != null && !call.standing && call.caller == caller;
    }

    /** Calls that stand and were set up on a caller's connection. */
    public int establishedCallsOn(ClientPort caller) {
        return callers.held(caller).standing;
    }

    /** Whether a call of this caller's connection ever stood. */
    public boolean hasServed(ClientPort caller) {
        return callers.held(caller).served;
    }

    /**
     * A caller asks for a call; the final answer goes to the port. False: a call with this id is open or stands.
     * Guards that call against whoever else uses its id: its answer would go to them.
     */
    public boolean submit(CallRequest setUp, ClientPort caller) {
        if (calls.containsKey(setUp.id())) {
            return false;
        }
        counters.count(Name.CALL_REQUESTS);
        Instant now = scheduler.now();
        // The caller's wait runs from when it sent the set-up: what an own stall held up came earlier.
        Duration left = setUp.remainingDeadline().minus(scheduler.lag());
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
        Duration heldBack = replication.delayBeforeFirstAttempt(setUp.id());
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
        if (directory.requireService(call.service.name)) {
            decide(call);
        } else {
            Duration left = Duration.between(scheduler.now(), call.deadline).minus(ANSWER_MARGIN);
            directory.awaitService(call.service.name, left, () -> decide(call), after -> refuseUndecided(call, after));
        }
    }

    /** The servers of a call's service did not become known in time. */
    private void refuseUndecided(Call call, Duration comeBackAfter) {
        if (calls.get(call.asked.id()) == call) {
            counters.count(Name.REJECTED);
            CallTrace.step(call.asked.id(), "refused: the servers of {0} are not known yet", call.service.name);
            call.guard.cancel();
            remove(call);
            call.caller.reject(call.asked.id(), comeBackAfter);
        }
    }

    private void decide(Call call) {
        CallRequest asked = call.asked;
        if (calls.get(asked.id()) == call) {
            turns.tell(at -> call.service.module.requestArrived(at,
                    new RoutingPolicy.Request(asked.id(), asked.callClass(), asked.destination(),
                            Millis.of(Duration.between(scheduler.now(), call.deadline)), asked.preferredPool(), false)));
        }
    }

    /**
     * The same set-up comes once more from the same caller over another connection; its answer goes there from now
     * on. False where it is not the same, or not open.
     */
    public boolean resubmit(CallRequest again, ClientPort caller) {
        Call call = calls.get(again.id());
        if (call == null || call.standing || !caller.isSameClient(call.caller)
                || !Arrays.equals(call.asked.payload(), again.payload())) {
            return false;
        }
        callers.held(call.caller).open--;
        callers.held(caller).open++;
        call.caller.superseded(again.id());
        call.caller = caller;
        return true;
    }

    private void answerOverdue(Call call) {
        if (calls.get(call.asked.id()) == call && !call.standing) {
            counters.count(Name.ANSWERED_BY_GUARD);
            CallTrace.step(call.asked.id(), "overdue by {0} ms, refused by the guard",
                    Duration.between(call.deadline, scheduler.now()));
            ClientPort caller = call.caller;
            leave(call);
            caller.reject(call.asked.id(), Duration.ZERO);
        }
    }

    /**
     * A caller gives a set-up up, or releases a call that stands: which of the two, its state tells. False: no such
     * call is known, or it is open on another connection, which alone may give it up, or another caller's.
     */
    public boolean clientReleased(String id, byte[] content, ClientPort from) {
        Call call = calls.get(id);
        if (call == null) {
            return !callers.isOver(id) && replication.delegate(new CallEvent.Released(id, content));
        }
        if (call.standing ? !from.isSameClient(call.caller) : call.caller != from) {
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
            replication.defer(new CallEvent.Released(id, content));
            return;
        }
        counters.count(Name.RELEASED_BY_CLIENT);
        remove(call);
        releaseAt(call.server, id, content);
        report(call, Outcome.CANCELLED, true);
    }

    private void releaseAt(Server server, String id, byte[] content) {
        server.port.release(id, Outcome.COMPLETED, content);
        server.port.pendingRelease(id).ifPresent(ending -> replication.serverReleasePending(id, server.line.id(), ending));
    }

    /** A release that waited for a connection to its server has left. */
    public void releaseSent(String id) {
        replication.callCompleted(id);
    }

    /** Whether a call stands. */
    public boolean isEstablished(String id) {
        Call call = calls.get(id);
        return call != null && call.standing;
    }

    /** A caller has something for the server of a call that stands; false where it can't be passed on now. */
    public boolean forwardToServer(String id, byte[] content) {
        return isEstablished(id) && replication.mayAct(id) && calls.get(id).server.port.forward(id, content);
    }

    /** A server answered what was passed on. */
    public void forwardToClient(long serverId, String id, byte[] content) {
        if (isEstablished(id) && calls.get(id).server == servers.get(serverId) && replication.mayAct(id)) {
            calls.get(id).caller.forwardReply(id, content);
        }
    }

    /** A caller releases a call that is not known: one from before this program's start, at whichever server. */
    public void releaseUnknown(String id) {
        if (!callers.isOver(id) && !calls.containsKey(id)) {
            servers.values().stream().filter(server -> server.line.status() != ServerStatus.GONE)
                    .forEach(server -> server.port.releaseUnknown(id));
        }
    }

    /** The caller no longer waits: no answer is owed, and an attempt that is out is given up. */
    private void leave(Call call) {
        CallTrace.step(call.asked.id(), "left by its caller");
        counters.count(Name.GIVEN_UP_BY_CLIENT);
        call.guard.cancel();
        remove(call);
        turns.tell(at -> call.service.module.clientLeft(at, call.asked.id()));
        if (call.server != null) {
            giveUpAttempt(call);
            report(call, Outcome.CANCELLED, true);
        }
    }

    // ---- from session servers

    /** A server answered: the call stands there, unless its attempt was given up before. */
    public void serverAnswered(long serverId, String id, byte[] description) {
        Call call = calls.get(id);
        Server server = servers.get(serverId);
        // A server that has gone from the list has no calls, and a call between attempts has no server: not the same.
        if (call == null || call.standing || server == null || call.server != server) {
            // Guards against a late answer of a given-up attempt: it holds the server's place for nobody.
            if (server != null && (call == null || call.server != server)) {
                counters.count(Name.LATE_ANSWERS);
                server.port.release(id, Outcome.CANCELLED, NOTHING);
            }
            return;
        }
        counters.count(Name.ESTABLISHED);
        CallTrace.step(id, "stands at {0} after {1} ms", serverId, Duration.between(call.sentAt, scheduler.now()));
        call.patience.cancel();
        call.guard.cancel();
        call.standing = true;
        server.standing++;
        ClientConnections.Held held = callers.held(call.caller);
        held.open--;
        held.standing++;
        held.served = true;
        replication.callEstablished(id, serverId, call.caller);
        replication.deliverAnswer(id, call.asked.callClass(), () -> call.caller.answer(id, description));
        double waited = Millis.of(Duration.between(call.sentAt, scheduler.now()));
        turns.tell(at -> call.service.module.callEstablished(at, id, call.attempts - 1, serverId, waited));
    }

    /** A server released a call, before or after its answer; or its connection ended under a set-up. */
    public void serverReleased(long serverId, String id, Outcome how, Duration statedWait) {
        Call call = calls.get(id);
        Server server = servers.get(serverId);
        if (call == null) {
            CallEvent.Ended event = new CallEvent.Ended(id, how);
            if (!callers.isOver(id) && !replication.delegate(event)) {
                handleUnowned(event);
            }
        } else if (server != null && call.server == server && call.standing) {
            finishStanding(call, how == Outcome.COMPLETED ? how : Outcome.RESET);
        } else if (server != null && call.server == server) {
            call.patience.cancel();
            report(call, how == Outcome.COMPLETED ? Outcome.ERROR : how, false, statedWait);
        }
    }

    /** Something happened to a call that nobody acts on: one from before this program's start. */
    public void handleUnowned(CallEvent event) {
        if (event instanceof CallEvent.Ended ended) {
            counters.count(Name.RELEASED_UNKNOWN);
            relay(null, ended.callId(), ended.outcome());   // any caller's connection will do
        } else {
            releaseUnknown(event.callId());
        }
    }

    /** Something happened to a call, and this controller acts on it: it heard of it late, or by another one. */
    public void handleOwned(CallEvent event) {
        Call call = calls.get(event.callId());
        if (call != null && call.standing) {
            if (event instanceof CallEvent.Released released) {
                releaseStanding(call, released.content());
            } else {
                finishStanding(call, ((CallEvent.Ended) event).outcome());
            }
        }
    }

    // ---- from another controller of the group

    /** Goes on with a call that stands at a server; false where the list does not name the server. */
    public boolean adopt(String id, long serverId, ClientPort caller, byte[] ending) {
        Server server = servers.get(serverId);
        if (calls.containsKey(id) || server == null || server.line.status() == ServerStatus.GONE) {
            return calls.containsKey(id);
        }
        Call call =
                new Call(server.service, new CallRequest(id, -1, "", Duration.ZERO, -1, NOTHING), scheduler.now(), caller);
        call.adopted = true;
        call.standing = true;
        call.server = server;
        call.service.calls++;
        server.standing++;
        calls.put(id, call);
        counters.count(Name.ADOPTED);
        CallTrace.step(id, "adopted at {0}", serverId);
        replication.callEstablished(id, serverId, caller);
        server.port.adopt(id, ending);
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
    public void deliverRelease(String id, ClientPort caller, Outcome how) {
        callers.over(id);
        relay(caller, id, how);
    }

    /** Whether the list had this server, and it has gone. */
    public boolean isRemoved(long serverId) {
        return gone.contains(serverId);
    }

    /** A call's release is owed to its server by a controller that is gone. */
    public void deliverServerRelease(String id, long serverId, byte[] ending) {
        Server server = servers.get(serverId);
        if (server != null) {
            server.port.adopt(id, ending);
            releaseAt(server, id, NOTHING);
        }
    }

    /** A server told of its free lines and of all its lines. */
    public void capacityReported(long serverId, double free, double size) {
        Server server = servers.get(serverId);
        if (server != null) {
            turns.tell(at -> server.service.module.loadReported(at, serverId,
                    new RoutingPolicy.LoadReport(free, size, Double.NaN,
                            Double.NaN, Double.NaN, Double.NaN)));
        }
    }

    /**
     * All calls that stood at a server are cut: its process is gone or, where that is not certain, can't be reached.
     * Guards calls against standing there for good: they are released should it be reached after all.
     */
    public void serverLost(long serverId, boolean isCertain) {
        Server server = servers.get(serverId);
        for (Call call : server == null ? List.<Call>of() : standingAt(server)) {
            if (isCertain || replication.mayAct(call.asked.id())) {
                finishStanding(call, Outcome.RESET);
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
        standingAt(server).forEach(call -> finishStanding(call, Outcome.RESET));
    }

    /** Whether calls stand at a server. */
    public boolean hasEstablishedCallsAt(long serverId) {
        Server server = servers.get(serverId);
        return server != null && server.standing > 0;
    }

    private void finishStanding(Call call, Outcome how) {
        String id = call.asked.id();
        if (!replication.mayAct(id)) {
            replication.defer(new CallEvent.Ended(id, how));
            return;
        }
        counters.count(how == Outcome.COMPLETED ? Name.RELEASED_BY_SERVER : Name.CUT);
        remove(call);
        relay(call.caller, id, how);
        report(call, how, true);
    }

    private void relay(ClientPort own, String id, Outcome how) {
        if (!callers.relay(own, id, how)) {
            replication.clientReleasePending(id, own, how);
        }
    }

    // ---- the list of servers

    /** The list arrived: the whole of it, or the changed lines alone. */
    public void updateServers(boolean whole, List<ServerEndpoint> lines) {
        updateServers(ServiceDirectory.ONLY_SERVICE, whole, lines);
    }

    /**
     * The servers of a service: all of them, or the changed lines alone. A server belongs to the service that named it
     * first, until that has let it go.
     */
    public void updateServers(String serviceName, boolean whole, List<ServerEndpoint> all) {
        Service service = service(serviceName);
        // Guards a service's calls against another's servers, where two name the same.
        List<ServerEndpoint> lines = all.stream().filter(line -> !isOfAnother(line.id(), service)).toList();
        // The module hears of the change before anything comes back from it, or it would choose the same again.
        List<Runnable> consequences = new ArrayList<>();
        if (whole) {
            Set<Long> named = new HashSet<>();
            lines.forEach(line -> named.add(line.id()));
            servers.values().stream().filter(s -> s.service == service && !named.contains(s.line.id()))
                    .forEach(server -> goneFromList(server, consequences));
        }
        List<RoutingPolicy.ListedServer> told = new ArrayList<>();
        for (ServerEndpoint line : lines) {
            told.add(new RoutingPolicy.ListedServer(line.id(), line.pool(), line.status(),
                    line.startedAt().equals(Instant.EPOCH) ? 0 : Millis.of(line.startedAt()), line.weight()));
            change(service, line, consequences);
        }
        turns.tellFirst(at -> service.module.serversListed(at, whole, told));
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
    public boolean forgetService(String serviceName) {
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

    private void change(Service service, ServerEndpoint line, List<Runnable> consequences) {
        Server server = servers.get(line.id());
        boolean moved = server != null && !server.line.address().equals(line.address());
        if (server != null && line.startedAt().isAfter(server.line.startedAt())) {
            Server restarted = server;
            consequences.add(() -> cutAll(restarted));   // what stood at the old process went with it
        }
        if (server != null && (server.line.status() == ServerStatus.GONE || moved)) {
            goneFromList(server, consequences);
            servers.remove(line.id());
            server = null;
        }
        if (server == null) {
            if (line.status() == ServerStatus.GONE) {
                return;
            }
            server = new Server(service, line, ports.apply(line));
            servers.put(line.id(), server);
        }
        server.line = line;
        if (line.status() == ServerStatus.GONE) {
            goneFromList(server, consequences);
        } else if (line.status() == ServerStatus.DRAINING) {
            consequences.add(server.port::drain);
        }
    }

    /** Guards against calls left standing at a machine that went without a word. */
    private void goneFromList(Server server, List<Runnable> consequences) {
        ServerEndpoint line = server.line;
        server.line = new ServerEndpoint(line.id(), line.address(), ServerStatus.GONE, line.pool(), line.weight(),
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
    private void report(Call call, Outcome how, boolean closed) {
        report(call, how, closed, Duration.ZERO);
    }

    private void report(Call call, Outcome how, boolean closed, Duration statedWait) {
        Server server = call.server;
        call.server = null;
        if (call.adopted) {
            return;
        }
        CallTrace.step(call.asked.id(), "attempt at {0} ended: {1}", server.line.id(), how);
        if (!call.standing) {
            counters.count(Name.ofAttempt(how));
        }
        call.mayHaveRun |= how == Outcome.TIMED_OUT || how == Outcome.RESET || how == Outcome.CANCELLED;
        if (how == Outcome.TIMED_OUT || how == Outcome.RESET || how == Outcome.CANCELLED) {
            call.notBefore = scheduler.now().plus(settings.rules().retryDelay().minus(CLEAR_MARGIN));
        }
        if (!closed && !call.standing) {
            Duration wait = Duration.between(scheduler.now(), call.notBefore);
            replication.attemptEnded(call.asked.id(), server.line.id(), wait.isNegative() ? Duration.ZERO : wait,
                    call.caller);
        }
        double waited = Millis.of(Duration.between(call.sentAt, scheduler.now()));
        int attempt = call.attempts - 1;
        turns.tell(at -> call.service.module.attemptEnded(at,
                new RoutingPolicy.AttemptResult(call.asked.id(), attempt, server.line.id(), how,
                        closed, waited, Millis.of(statedWait), null)));
    }

    private void giveUpAttempt(Call call) {
        call.patience.cancel();
        call.server.port.cancel(call.asked.id());
    }

    /** Takes a call off the table; it is remembered as over for a while. */
    private void remove(Call call) {
        takeOff(call);
        callers.over(call.asked.id());
        replication.callCompleted(call.asked.id());
    }

    private void takeOff(Call call) {
        calls.remove(call.asked.id());
        call.service.calls--;
        ClientConnections.Held held = callers.held(call.caller);
        held.open -= call.standing ? 0 : 1;
        held.standing -= call.standing ? 1 : 0;
        if (call.standing) {
            call.server.standing--;
        }
    }

    /** How much is kept, of whatever kind: it must not grow with the length of the day. */
    public int retainedEntries() {
        return calls.size() + servers.size() + callers.kept();
    }

    /** Carries out what the module asks for. */
    private final class ModuleActions implements RoutingPolicy.Actions {

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
                    || server.line.status() != ServerStatus.RUNNING || server.service != service) {
                counters.count(Name.BLOCKED_BY_GUARD);
                turns.tell(at -> service.module.attemptEnded(at,
                        new RoutingPolicy.AttemptResult(id, attempt, serverId, Outcome.NOT_SENT, false, 0,
                                0, null)));
                return;
            }
            counters.count(Name.ATTEMPTS);
            CallTrace.step(id, "sent to {0}", serverId);
            Duration left = Duration.between(now, call.deadline);
            Duration patience = giveUpAfterMs > 0 ? Millis.toDuration(giveUpAfterMs) : left;
            patience = patience.compareTo(left) < 0 ? patience : left;
            call.server = server;
            call.sentAt = now;
            replication.attemptStarted(id, serverId, patience, call.caller, () -> server.port.releaseToken(call.asked));
            call.patience = scheduler.after(patience, () -> timedOut(call, attempt));
            server.port.sendRequest(call.asked, patience, call.mayHaveRun);
        }

        private void timedOut(Call call, int attempt) {
            if (call.server != null && !call.standing && call.attempts - 1 == attempt) {
                giveUpAttempt(call);
                report(call, Outcome.TIMED_OUT, false);
            }
        }

        @Override
        public void reject(String id, double adviseMs) {
            finish(id, Name.REJECTED, caller -> caller.reject(id, Millis.toDuration(adviseMs)));
        }

        @Override
        public void fail(String id) {
            finish(id, Name.FAILED, caller -> caller.fail(id));
        }

        /** The one place where the module's final answers leave; a call that is not open has had its own. */
        private void finish(String id, Name counted, Consumer<ClientPort> answer) {
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
                report(call, Outcome.CANCELLED, false);
            }
        }

        @Override
        public void scheduleTimer(double delayMs) {
            turns.wake(delayMs, service.module::timerFired);
        }

        @Override
        public void requestServerList() {
            // The list is pushed here; there is nobody to ask.
        }
    }
}
