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
 * Manages every call's life cycle without doing I/O: accepts requests from clients, lets the routing policy decide, carries
 * out the policy's actions, and enforces the limits that hold whatever the policy decides. A call is <em>open</em> until its
 * one final answer; a call that a server answered is then <em>established</em> until it is released or its server is lost.
 *
 * <p>Everything runs on the thread of the {@link Scheduler}; nothing blocks. {@link #counters} may be read from any thread.
 */
public final class CallController {

    /** Creates the port of a server when the server list first contains it. */
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
    private final ClientFailover failover;
    private final EndedCalls endedCalls = new EndedCalls();
    private final EstablishedCalls established;

    /** Creates a controller that belongs to no group and has a single service. */
    public CallController(Settings settings, long seed, Scheduler scheduler, ServerPortFactory ports) {
        this(settings, seed, scheduler, ports, CallReplication.NONE);
    }

    /** Creates a controller with a single service; {@code replication} replicates call state to its group. */
    public CallController(Settings settings, long seed, Scheduler scheduler, ServerPortFactory ports,
            CallReplication replication) {
        this(settings, seed, scheduler, ports, replication, ServiceDirectory.SINGLE_SERVICE);
    }

    /**
     * Creates a controller with calls and servers of several services.
     *
     * @param seed the only source of randomness
     * @param directory maps each call to its service
     */
    public CallController(Settings settings, long seed, Scheduler scheduler, ServerPortFactory ports,
            CallReplication replication, ServiceDirectory directory) {
        this.seed = seed;
        this.replication = replication;
        clients = new ClientConnections(scheduler);
        calls = new CallTable(clients);
        Settings effective = settings.withRetryDelay(settings.rules().retryDelay().plus(ControllerContext.RETRY_MARGIN));
        context =
                new ControllerContext(effective, scheduler, counters, replication, new PolicyEventQueue(scheduler), clients,
                        calls, endedCalls, new PortGuard(scheduler, counters));
        servers = new ServerTable(ports);
        attempts = new AttemptManager(context, servers);
        established = new EstablishedCalls(context, servers, attempts);
        failover = new ClientFailover(context, established);
        open = new OpenCalls(context, directory, this::service, attempts, failover);
        servers.bind(established);
        if (directory == ServiceDirectory.SINGLE_SERVICE) {
            service(ServiceDirectory.ONLY_SERVICE);   // created at the start, not at the first call
        }
    }

    private Service service(String name) {
        return services.computeIfAbsent(name, key -> {
            PolicyActions actions = new PolicyActions(context, attempts);
            // Each service has its own random sequence; the name of the only service is empty, so it uses the seed itself.
            RoutingPolicy policy = new AdaptiveRoutingPolicy(context.settings(), seed ^ key.hashCode(), actions);
            Service service = new Service(key, policy);
            actions.bind(service);
            return service;
        });
    }

    /** Returns the counters since the start. May be called from any thread. */
    public Counters counters() {
        return counters;
    }

    /** Returns the effective settings: the retry delay includes a margin over the one passed to the constructor. */
    public Settings settings() {
        return context.settings();
    }

    /** Returns the number of calls that still wait for their final answer. */
    public long openCalls() {
        return calls.openCount();
    }

    /** Returns the number of established calls. */
    public long establishedCalls() {
        return calls.size() - calls.openCount();
    }

    /** Returns the number of entries of every kind held in memory; it must not grow with uptime. */
    public int retainedEntries() {
        return calls.size() + servers.size() + clients.retainedEntries() + endedCalls.size();
    }

    // ---- from clients

    /** Registers a client's connection; releases that are pending for that client are sent on it. */
    public void clientConnected(ClientPort client) {
        clients.connected(client, replication::callCompleted);
    }

    /**
     * Handles the end of a client's connection: its open calls are abandoned, but those in flight are kept for a client that
     * repeats its requests over another connection; established calls are not affected.
     */
    public void clientDisconnected(ClientPort client) {
        if (clients.disconnected(client).open > 0) {
            calls.openOf(client).forEach(open::clientDisconnected);
        }
    }

    /** Handles an answer that was not sent before the client's connection ended: the client may repeat its request. */
    public void answerUnsent(String id, ClientPort client) {
        calls.findEstablished(id).filter(call -> call.client() == client).ifPresent(failover::connectionLost);
    }

    /** Returns the number of calls on a client's connection that wait for their final answer. */
    public int openCallsOn(ClientPort client) {
        return clients.usage(client).open;
    }

    /** Returns whether this call waits for its final answer, to be sent on this connection. */
    public boolean isOpenOn(String id, ClientPort client) {
        return calls.findOpen(id).filter(call -> call.client() == client).isPresent();
    }

    /** Returns the number of established calls that were requested on a client's connection. */
    public int establishedCallsOn(ClientPort client) {
        return clients.usage(client).established;
    }

    /** Returns whether a call of this client's connection was ever established. */
    public boolean hasHadEstablishedCall(ClientPort client) {
        return clients.usage(client).hasHadEstablishedCall;
    }

    /**
     * Submits a client's request for a call; the final answer goes to the port.
     *
     * @return false if a call with this id is open or established, since the answers could not be distinguished
     */
    public boolean submit(CallRequest request, ClientPort client) {
        if (calls.contains(request.id())) {
            return false;
        }
        open.submit(request, client);
        return true;
    }

    /**
     * Handles the same request sent again by the same client over another connection; the answer goes there from now on.
     *
     * @return false if the request is not the same, or its call is not open and was not kept for the client
     */
    public boolean resubmit(CallRequest request, ClientPort client) {
        return failover.resubmit(request, client);
    }

    /**
     * Handles a client's release: abandons the call if it is open, releases it if it is established.
     *
     * @return false if no such call is known, if it is open on another connection, which alone may abandon it, or if it
     *         belongs to another client
     */
    public boolean clientReleased(String id, byte[] content, ClientPort from) {
        Optional<Call> known = calls.find(id);
        if (known.isEmpty()) {
            return !endedCalls.contains(id) && replication.delegate(new CallEvent.Released(id, content));
        }
        Call call = known.get();
        boolean isBoundToConnection = !call.isEstablished() && call.isClientConnected();
        if (isBoundToConnection ? call.client() != from : !from.isSameClient(call.client())) {
            return false;
        }
        if (call.isEstablished()) {
            established.release(call, content);
        } else {
            open.abandon(call);
        }
        return true;
    }

    /** Returns whether a call is not open, established or known to have ended: it may date from before this process. */
    public boolean isUnknown(String id) {
        return !endedCalls.contains(id) && !calls.contains(id);
    }

    /** Releases an unknown call, which dates from before this process, at every server; the content is the client's. */
    public void releaseUnknown(String id, byte[] content) {
        if (isUnknown(id)) {
            established.releaseAtAllServers(id, content);
        }
    }

    /** Returns whether a call is established. */
    public boolean isEstablished(String id) {
        return calls.findEstablished(id).isPresent();
    }

    /** Returns whether a call is established and was requested by the client behind this port. */
    public boolean isEstablishedFor(String id, ClientPort client) {
        return calls.findEstablished(id).filter(call -> client.isSameClient(call.client())).isPresent();
    }

    /** Forwards a message from a connection of the call's client to its server; returns false if that can't be done now. */
    public boolean forwardToServer(String id, byte[] content, ClientPort from) {
        Optional<Server> server = calls.findEstablished(id).flatMap(Call::server);
        return server.isPresent() && isEstablishedFor(id, from) && replication.mayAct(id)
                && server.get().port().forward(id, content, from);
    }

    /** Forwards a server's reply to the connection from which the message came. */
    public void forwardToClient(long serverId, String id, byte[] content, ClientPort to) {
        Optional<Server> server = servers.find(serverId);
        calls.findEstablished(id).filter(call -> server.isPresent() && call.isAt(server.get()) && replication.mayAct(id))
                .ifPresent(call -> to.forwardReply(id, content));
    }

    // ---- from session servers

    /** Handles a server's answer to a request: the call is established there, unless its attempt was given up before. */
    public void serverAnswered(long serverId, String id, byte[] description) {
        Optional<Server> known = servers.find(serverId);
        if (known.isEmpty()) {
            return;
        }
        Server server = known.get();
        Optional<Call> current = calls.find(id).filter(call -> call.isAt(server));
        if (current.isEmpty()) {
            // A late answer to an attempt that was given up: without a release the call would occupy the server's slots.
            counters.count(Name.LATE_ANSWERS);
            server.port().release(id, Outcome.CANCELLED, new byte[0]);
        } else if (!current.get().isEstablished()) {
            attempts.answered(current.get(), server, description);
        }
    }

    /** Handles a call's end at its server, before or after its answer, or the loss of its request's connection. */
    public void serverReleased(long serverId, String id, Outcome outcome, Duration retryAfter) {
        Optional<Call> known = calls.find(id);
        if (known.isEmpty()) {
            unknownCallEnded(id, outcome, ClientPort.UNKNOWN);
            return;
        }
        Call call = known.get();
        if (servers.find(serverId).filter(call::isAt).isEmpty()) {
            return;
        }
        if (call.isEstablished()) {
            established.end(call, outcome == Outcome.COMPLETED ? outcome : Outcome.RESET);
        } else {
            call.cancelAttemptTimeout();
            attempts.end(call, outcome == Outcome.COMPLETED ? Outcome.ERROR : outcome, false, retryAfter);
        }
    }

    /**
     * Handles the end of an unknown call, which dates from before this process started, at its server.
     *
     * @return false if the call is known here, or known to have ended
     */
    public boolean unknownCallEnded(String id, Outcome outcome, ClientPort client) {
        boolean isUnknown = isUnknown(id);
        if (isUnknown && !replication.delegate(new CallEvent.Ended(id, outcome))) {
            established.unknownCallEnded(client, id, outcome);
        }
        return isUnknown;
    }

    /** Handles a server's capacity report: its free slots and its total slots. */
    public void capacityReported(long serverId, double freeSlots, double slots) {
        LoadReport report = new LoadReport(freeSlots, slots, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
        servers.find(serverId).ifPresent(server -> context.policyEvents()
                .post(at -> server.service().policy().loadReported(at, serverId, report)));
    }

    /**
     * Ends all calls that were established at a server, which is lost.
     *
     * @param isCertain whether its process is known to be gone; if not, it may only be unreachable
     */
    public void serverLost(long serverId, boolean isCertain) {
        servers.find(serverId).ifPresent(server -> established.serverLost(server, isCertain));
    }

    /** Returns whether calls are established at a server. */
    public boolean hasEstablishedCallsAt(long serverId) {
        return servers.find(serverId).filter(server -> server.establishedCalls() > 0).isPresent();
    }

    /** Handles the sending of a release that was pending for lack of a connection to its server. */
    public void releaseSent(String id) {
        replication.callCompleted(id);
    }

    // ---- from other controllers of the group

    /** Handles an event of a call that no controller owns, which dates from before this process started. */
    public void handleUnowned(CallEvent event) {
        if (event instanceof CallEvent.Ended ended) {
            established.unknownCallEnded(ClientPort.UNKNOWN, ended.callId(), ended.outcome());
        } else if (event instanceof CallEvent.Released released) {
            releaseUnknown(released.callId(), released.content());
        }
    }

    /** Handles an event of a call that this controller owns, delivered late or through another controller. */
    public void handleOwned(CallEvent event) {
        calls.findEstablished(event.callId()).ifPresent(call -> established.handle(call, event));
    }

    /**
     * Adopts a call that is established at a server.
     *
     * @param releaseToken what the server needs in addition to the id to end the call
     * @return false if the server list does not contain the server
     */
    public boolean adopt(String id, long serverId, ClientPort client, byte[] releaseToken) {
        return established.adopt(id, serverId, client, releaseToken);
    }

    /** Gives up a call that another controller owns from now on. */
    public void disown(String id) {
        established.disown(id);
    }

    /** Notifies a client of a call's end in place of a controller that is gone. */
    public void deliverRelease(String id, ClientPort client, Outcome outcome) {
        endedCalls.add(id, context.scheduler().now());
        established.notifyClient(client, id, outcome);
    }

    /** Releases a call at its server in place of a controller that is gone. */
    public void deliverServerRelease(String id, long serverId, byte[] releaseToken) {
        established.deliverServerRelease(id, serverId, releaseToken);
    }

    /** Returns whether this server was in the server list and has been removed. */
    public boolean isRemoved(long serverId) {
        return servers.isRemoved(serverId);
    }

    // ---- server list

    /** Updates the server list of the only service: the complete list, or the changed entries alone. */
    public void updateServers(boolean isComplete, List<ServerEndpoint> endpoints) {
        updateServers(ServiceDirectory.ONLY_SERVICE, isComplete, endpoints);
    }

    /**
     * Updates the servers of a service: the complete list, or the changed entries alone. A server that several services list
     * belongs to the one that listed it first, until that service removes it.
     */
    public void updateServers(String serviceName, boolean isComplete, List<ServerEndpoint> endpoints) {
        Service service = service(serviceName);
        ServerTable.Change change = servers.update(service, isComplete, endpoints);
        context.policyEvents().postFirst(at -> service.policy().serversListed(at, isComplete, change.entries()));
        change.followUps().forEach(Runnable::run);
    }

    /**
     * Forgets a service and its servers, which still exist but are no longer watched.
     *
     * @return false if the service has open or established calls; it is then kept
     */
    public boolean forgetService(String serviceName) {
        Optional<Service> service = Optional.ofNullable(services.get(serviceName));
        if (service.filter(Service::hasCalls).isPresent()) {
            return false;
        }
        service.ifPresent(unwatched -> {
            servers.forget(unwatched);
            services.remove(serviceName);
        });
        return true;
    }
}
