package pathlane.core;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import pathlane.config.Settings;
import pathlane.core.Counters.Name;
import pathlane.decision.Outcome;
import pathlane.decision.RoutingPolicy;
import pathlane.decision.RoutingPolicy.LoadReport;
import pathlane.decision.policy.AdaptiveRoutingPolicy;

/**
 * The life of every call, without a wire: takes requests of clients, has the routing policy decide, carries its actions out,
 * and guards the rules. A call is <em>open</em> until its one final answer; one that a server answered is then
 * <em>established</em> until it is released or cut.
 *
 * <p>Everything runs on the thread of the {@link Scheduler}; nothing blocks. {@link #counters} may be read from any thread.
 */
public final class CallController {

    /** Makes the way to a server when the list first names it. */
    public interface ServerPortFactory extends Function<ServerEndpoint, ServerPort> {}

    private final ControllerContext context;
    private final long seed;
    private final Map<String, Service> services = new HashMap<>();
    private final CallReplication replication;
    private final Counters counters = new Counters();
    private final ClientConnections clients;
    private final CallTable calls;
    private final ServerTable servers;
    private final AttemptManager attempts;
    private final OpenCalls open;
    private final EstablishedCalls established;

    /** A controller that is in no group, with a single service. */
    public CallController(Settings settings, long seed, Scheduler scheduler, ServerPortFactory ports) {
        this(settings, seed, scheduler, ports, CallReplication.NONE);
    }

    /** A controller with a single service; {@code replication} keeps what another controller of its group would need. */
    public CallController(Settings settings, long seed, Scheduler scheduler, ServerPortFactory ports,
            CallReplication replication) {
        this(settings, seed, scheduler, ports, replication, ServiceDirectory.ONE);
    }

    /**
     * A controller with calls and servers of several services.
     *
     * @param seed the only source of chance
     * @param directory which service each call belongs to
     */
    public CallController(Settings settings, long seed, Scheduler scheduler, ServerPortFactory ports,
            CallReplication replication, ServiceDirectory directory) {
        this.seed = seed;
        this.replication = replication;
        clients = new ClientConnections(scheduler);
        calls = new CallTable(clients);
        Settings withMargin = settings.withRetryDelay(settings.rules().retryDelay().plus(ControllerContext.RETRY_MARGIN));
        context =
                new ControllerContext(withMargin, scheduler, counters, replication, new PolicyEventQueue(scheduler), clients,
                        calls);
        servers = new ServerTable(ports, this::cutAll);
        attempts = new AttemptManager(context, servers);
        open = new OpenCalls(context, directory, this::service, attempts);
        established = new EstablishedCalls(context, servers, attempts);
        if (directory == ServiceDirectory.ONE) {
            service(ServiceDirectory.ONLY_SERVICE);   // at the start, not at the first call
        }
    }

    private void cutAll(Server server) {
        established.cutAll(server);
    }

    private Service service(String name) {
        return services.computeIfAbsent(name, key -> {
            PolicyActions actions = new PolicyActions(context, attempts);
            // Each service has its own chances; for the only service it is the seed itself.
            RoutingPolicy policy = new AdaptiveRoutingPolicy(context.settings(), seed ^ key.hashCode(), actions);
            Service service = new Service(key, policy);
            actions.bind(service);
            return service;
        });
    }

    /** What was done since the start. May be read from any thread. */
    public Counters counters() {
        return counters;
    }

    /** The settings in force: the retry delay has a margin over the one that the controller was made with. */
    public Settings settings() {
        return context.settings();
    }

    /** Calls that still wait for their final answer. */
    public long openCalls() {
        return calls.openCount();
    }

    /** Calls that are established. */
    public long establishedCalls() {
        return calls.size() - calls.openCount();
    }

    /** How many entries are kept, of whatever kind: it must not grow with the length of the day. */
    public int retainedEntries() {
        return calls.size() + servers.size() + clients.retainedEntries();
    }

    // ---- from clients

    /** A client can be reached; releases that found no connection go there. */
    public void clientConnected(ClientPort client) {
        clients.connected(client, replication::callCompleted);
    }

    /** A client's connection has ended: its open calls are given up; established calls are tied to none. */
    public void clientDisconnected(ClientPort client) {
        if (clients.disconnected(client).open > 0) {
            calls.openOf(client).forEach(open::abandon);
        }
    }

    /** Calls of a client's connection that wait for their final answer. */
    public int openCallsOn(ClientPort client) {
        return clients.usage(client).open;
    }

    /** Whether this call waits for its final answer, and it goes to this client. */
    public boolean isOpenOn(String id, ClientPort client) {
        return calls.findOpen(id).filter(call -> call.client() == client).isPresent();
    }

    /** Calls that are established and were requested on a client's connection. */
    public int establishedCallsOn(ClientPort client) {
        return clients.usage(client).established;
    }

    /** Whether a call of this client's connection was ever established. */
    public boolean hasServed(ClientPort client) {
        return clients.usage(client).hasServed;
    }

    /**
     * A client asks for a call; the final answer goes to the port.
     *
     * @return false where a call with this id is open or established: its answers would go to whoever uses its id else
     */
    public boolean submit(CallRequest request, ClientPort client) {
        if (calls.contains(request.id())) {
            return false;
        }
        open.submit(request, client);
        return true;
    }

    /**
     * The same request comes once more from the same client over another connection; its answer goes there from now on.
     *
     * @return false where it is not the same, or not open
     */
    public boolean resubmit(CallRequest again, ClientPort client) {
        return open.resubmit(again, client);
    }

    /**
     * A client gives an open call up, or releases an established one: which of the two, its state tells.
     *
     * @return false where no such call is known, or it is open on another connection, which alone may give it up, or it is
     *         another client's
     */
    public boolean clientReleased(String id, byte[] content, ClientPort from) {
        Optional<Call> known = calls.find(id);
        if (known.isEmpty()) {
            return !clients.isEnded(id) && replication.delegate(new CallEvent.Released(id, content));
        }
        Call call = known.get();
        if (call.isEstablished() ? !from.isSameClient(call.client()) : call.client() != from) {
            return false;
        }
        if (call.isEstablished()) {
            established.release(call, content);
        } else {
            open.abandon(call);
        }
        return true;
    }

    /** A client releases a call that is not known: one from before this program's start, at whichever server. */
    public void releaseUnknown(String id) {
        if (!clients.isEnded(id) && !calls.contains(id)) {
            established.releaseAtAllServers(id);
        }
    }

    /** Whether a call is established. */
    public boolean isEstablished(String id) {
        return calls.findEstablished(id).isPresent();
    }

    /** A client has something for the server of an established call; false where it can't be passed on now. */
    public boolean forwardToServer(String id, byte[] content) {
        Optional<Server> server = calls.findEstablished(id).flatMap(Call::server);
        return server.isPresent() && replication.mayAct(id) && server.get().port().forward(id, content);
    }

    /** A server answered what was passed on to it. */
    public void forwardToClient(long serverId, String id, byte[] content) {
        Optional<Server> server = servers.find(serverId);
        calls.findEstablished(id).filter(call -> server.isPresent() && call.isAt(server.get()) && replication.mayAct(id))
                .ifPresent(call -> call.client().forwardReply(id, content));
    }

    // ---- from session servers

    /** A server answered a request: the call is established there, unless its attempt was given up before. */
    public void serverAnswered(long serverId, String id, byte[] description) {
        Optional<Server> known = servers.find(serverId);
        if (known.isEmpty()) {
            return;
        }
        Server server = known.get();
        Optional<Call> current = calls.find(id).filter(call -> call.isAt(server));
        if (current.isEmpty()) {
            // A late answer of an attempt that was given up holds the server's place for nobody.
            counters.count(Name.LATE_ANSWERS);
            server.port().release(id, Outcome.CANCELLED, new byte[0]);
        } else if (!current.get().isEstablished()) {
            attempts.answered(current.get(), server, description);
        }
    }

    /** A server released a call, before or after its answer; or its connection ended under a request. */
    public void serverReleased(long serverId, String id, Outcome outcome, Duration retryAfter) {
        Optional<Call> known = calls.find(id);
        if (known.isEmpty()) {
            CallEvent event = new CallEvent.Ended(id, outcome);
            if (!clients.isEnded(id) && !replication.delegate(event)) {
                handleUnowned(event);
            }
            return;
        }
        Call call = known.get();
        if (servers.find(serverId).filter(call::isAt).isEmpty()) {
            return;
        }
        if (call.isEstablished()) {
            established.end(call, outcome == Outcome.COMPLETED ? outcome : Outcome.RESET);
        } else {
            call.cancelTimeout();
            attempts.end(call, outcome == Outcome.COMPLETED ? Outcome.ERROR : outcome, false, retryAfter);
        }
    }

    /** A server told of its free slots and of all its slots. */
    public void capacityReported(long serverId, double freeSlots, double slots) {
        LoadReport report = new LoadReport(freeSlots, slots, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
        servers.find(serverId).ifPresent(server -> context.policyEvents()
                .post(at -> server.service().policy().loadReported(at, serverId, report)));
    }

    /**
     * All calls that were established at a server are cut.
     *
     * @param isCertain whether its process is known to be gone; it may be out of reach alone
     */
    public void serverLost(long serverId, boolean isCertain) {
        servers.find(serverId).ifPresent(server -> established.serverLost(server, isCertain));
    }

    /** Whether calls are established at a server. */
    public boolean hasEstablishedCallsAt(long serverId) {
        return servers.find(serverId).filter(server -> server.establishedCalls() > 0).isPresent();
    }

    /** A release that waited for a connection to its server has left. */
    public void releaseSent(String id) {
        replication.callCompleted(id);
    }

    // ---- from other controllers of the group

    /** Something happened to a call that no controller owns: one from before this program's start. */
    public void handleUnowned(CallEvent event) {
        if (event instanceof CallEvent.Ended ended) {
            counters.count(Name.RELEASED_UNKNOWN);
            established.notifyAnyClient(ended.callId(), ended.outcome());
        } else {
            releaseUnknown(event.callId());
        }
    }

    /** Something happened to a call that this controller owns: it heard of it late, or from another one. */
    public void handleOwned(CallEvent event) {
        calls.findEstablished(event.callId()).ifPresent(call -> {
            if (event instanceof CallEvent.Released released) {
                established.release(call, released.content());
            } else if (event instanceof CallEvent.Ended ended) {
                established.end(call, ended.outcome());
            }
        });
    }

    /**
     * Goes on with a call that is established at a server.
     *
     * @param releaseToken what the server needs beside the id to end the call
     * @return false where the list does not name the server
     */
    public boolean adopt(String id, long serverId, ClientPort client, byte[] releaseToken) {
        return established.adopt(id, serverId, client, releaseToken);
    }

    /** Another controller owns this call from now on. */
    public void disown(String id) {
        established.disown(id);
    }

    /** A controller that is gone left a client to be told of a call's end. */
    public void deliverRelease(String id, ClientPort client, Outcome outcome) {
        clients.callEnded(id);
        established.notifyClient(client, id, outcome);
    }

    /** A controller that is gone left a call to be released at its server. */
    public void deliverServerRelease(String id, long serverId, byte[] releaseToken) {
        established.deliverServerRelease(id, serverId, releaseToken);
    }

    /** Whether the list had this server, and it has gone. */
    public boolean isRemoved(long serverId) {
        return servers.isRemoved(serverId);
    }

    // ---- the list of servers

    /** The list arrived: the whole of it, or the changed entries alone. */
    public void updateServers(boolean isWhole, List<ServerEndpoint> endpoints) {
        updateServers(ServiceDirectory.ONLY_SERVICE, isWhole, endpoints);
    }

    /**
     * The servers of a service: all of them, or the changed entries alone. A server belongs to the service that named it
     * first, until that has let it go.
     */
    public void updateServers(String serviceName, boolean isWhole, List<ServerEndpoint> endpoints) {
        Service service = service(serviceName);
        ServerTable.Change change = servers.update(service, isWhole, endpoints);
        context.policyEvents().postFirst(at -> service.policy().serversListed(at, isWhole, change.entries()));
        change.consequences().forEach(Runnable::run);
    }

    /**
     * Forgets a service and its servers, which have not gone but are not followed any more.
     *
     * @return false where calls of it are open or established: it is kept
     */
    public boolean forgetService(String serviceName) {
        Optional<Service> service = Optional.ofNullable(services.get(serviceName));
        if (service.filter(Service::hasCalls).isPresent()) {
            return false;
        }
        service.ifPresent(forgotten -> {
            servers.forget(forgotten);
            services.remove(serviceName);
        });
        return true;
    }
}
