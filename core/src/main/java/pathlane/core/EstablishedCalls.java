package pathlane.core;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import pathlane.core.Counters.Name;
import pathlane.decision.Outcome;

/**
 * Ends established calls, on a release by either side or on the loss of their server, and adopts and disowns calls that move
 * between controllers of a group. Runs on the event loop's thread.
 */
final class EstablishedCalls implements ServerTable.LossListener {

    private static final byte[] NO_CONTENT = {};
    /** How much the clock by which the server list states start times may differ from this controller's. */
    private static final Duration MAX_CLOCK_OFFSET = Duration.ofMillis(500);

    private final ControllerContext context;
    private final ServerTable servers;
    private final AttemptManager attempts;

    EstablishedCalls(ControllerContext context, ServerTable servers, AttemptManager attempts) {
        this.context = context;
        this.servers = servers;
        this.attempts = attempts;
    }

    /** Handles an event of a call. */
    void handle(Call call, CallEvent event) {
        if (event instanceof CallEvent.Released released) {
            release(call, released.content());
        } else if (event instanceof CallEvent.Ended ended) {
            end(call, ended.outcome());
        }
    }

    /** Releases a call for its client; the content is for its server. */
    void release(Call call, byte[] content) {
        String id = call.id();
        if (!context.replication().mayAct(id)) {
            context.replication().defer(new CallEvent.Released(id, content));
            return;
        }
        context.counters().count(Name.RELEASED_BY_CLIENT);
        Optional<Server> server = call.server();
        context.complete(call);
        server.ifPresent(owner -> releaseAt(owner, id, content));
        attempts.end(call, Outcome.CANCELLED, true);
    }

    private void releaseAt(Server server, String id, byte[] content) {
        server.port().release(id, Outcome.COMPLETED, content);
        server.port().pendingReleaseToken(id)
                .ifPresent(token -> context.replication().serverReleasePending(id, server.id(), token));
    }

    /** Handles a call's end at its server, or its loss, and notifies its client. */
    void end(Call call, Outcome outcome) {
        String id = call.id();
        if (!context.replication().mayAct(id)) {
            context.replication().defer(new CallEvent.Ended(id, outcome));
            return;
        }
        context.counters().count(outcome == Outcome.COMPLETED ? Name.RELEASED_BY_SERVER : Name.CUT);
        context.complete(call);
        if (call.isClientConnected()) {
            notifyClient(call.client(), id, outcome);
        }
        attempts.end(call, outcome, true);
    }

    /** Notifies the client behind a port of a call's end, now or on its next connection. */
    void notifyClient(ClientPort client, String id, Outcome outcome) {
        if (!context.clients().notifyRelease(client, id, outcome)) {
            context.replication().clientReleasePending(id, client, outcome);
        }
    }

    /** Notifies a client of the end of a call that was established before this process started. */
    void unknownCallEnded(ClientPort client, String id, Outcome outcome) {
        context.counters().count(Name.RELEASED_UNKNOWN);
        notifyClient(client, id, outcome);
    }

    /** Ends all calls that are established at a server, whose process no longer runs. */
    @Override
    public void serverRemoved(Server server) {
        serverLost(server, true);
    }

    /**
     * Ends the calls that were established at a server before its present process started. The server list reports a restart
     * late, so calls may be established at the present process already; these are not affected. A call is also released if
     * its request may have waited for the present process, or if the clocks differ: it would otherwise stay established.
     */
    @Override
    public void processReplaced(Server server, Instant startedAt) {
        Instant certainBefore = startedAt.minus(MAX_CLOCK_OFFSET);
        for (Call call : context.calls().establishedAt(server)) {
            if (call.wasSentBefore(startedAt)) {
                lose(call, server, call.wasEstablishedBefore(certainBefore));
            }
        }
    }

    /**
     * Ends all calls at a server whose process is gone or, if that is not certain, can't be reached. In the latter case the
     * calls are also released in case it becomes reachable again; otherwise they would stay established there forever.
     */
    void serverLost(Server server, boolean isCertain) {
        context.calls().establishedAt(server).forEach(call -> lose(call, server, isCertain));
    }

    private void lose(Call call, Server server, boolean isCertain) {
        if (isCertain || context.replication().mayAct(call.id())) {
            end(call, Outcome.RESET);
            if (!isCertain) {
                releaseAt(server, call.id(), NO_CONTENT);
            }
        }
    }

    /** Adopts a call of another controller; returns false if the server list does not contain its server. */
    boolean adopt(String id, long serverId, ClientPort client, byte[] releaseToken) {
        Optional<Server> server = servers.find(serverId).filter(listed -> !listed.isGone());
        if (context.calls().contains(id) || server.isEmpty()) {
            return context.calls().contains(id);
        }
        context.calls().addAdopted(Call.adopted(id, server.get(), context.scheduler().now(), client), server.get());
        context.counters().count(Name.ADOPTED);
        CallTrace.step(id, "adopted at {0}", serverId);
        context.replication().callEstablished(id, serverId, client);
        server.get().port().adopt(id, releaseToken);
        return true;
    }

    /** Gives up a call that another controller owns from now on. */
    void disown(String id) {
        context.calls().findEstablished(id).ifPresent(call -> {
            CallTrace.step(id, "disowned");
            context.counters().count(Name.DISOWNED);
            context.calls().remove(call);
        });
        context.clients().dropPendingRelease(id);
    }

    /** Sends a call's release to its server that another controller left pending. */
    void deliverServerRelease(String id, long serverId, byte[] releaseToken) {
        servers.find(serverId).ifPresent(server -> {
            server.port().adopt(id, releaseToken);
            releaseAt(server, id, NO_CONTENT);
        });
    }

    /** Releases a call at every listed server, since it is not known at which one it is established. */
    void releaseAtAllServers(String id, byte[] content) {
        List<Server> listed = servers.all().stream().filter(server -> !server.isGone()).toList();
        listed.forEach(server -> server.port().releaseUnknown(id, content));
    }
}
