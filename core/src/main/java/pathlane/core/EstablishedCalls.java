package pathlane.core;

import java.util.List;
import java.util.Optional;
import pathlane.core.Counters.Name;
import pathlane.decision.Outcome;

/**
 * The ends of established calls, by either side or by the loss of their server, and calls that are handed over among
 * controllers of a group. On the loop's thread.
 */
final class EstablishedCalls {

    private static final byte[] NO_CONTENT = {};

    private final ControllerContext context;
    private final ServerTable servers;
    private final AttemptManager attempts;

    EstablishedCalls(ControllerContext context, ServerTable servers, AttemptManager attempts) {
        this.context = context;
        this.servers = servers;
        this.attempts = attempts;
    }

    /** The client releases the call; the content is for its server. */
    void release(Call call, byte[] content) {
        String id = call.id();
        if (!context.replication().mayAct(id)) {
            context.replication().defer(new CallEvent.Released(id, content));
            return;
        }
        context.counters().count(Name.RELEASED_BY_CLIENT);
        Optional<Server> server = call.server();
        context.complete(call);
        server.ifPresent(at -> releaseAt(at, id, content));
        attempts.end(call, Outcome.CANCELLED, true);
    }

    private void releaseAt(Server server, String id, byte[] content) {
        server.port().release(id, Outcome.COMPLETED, content);
        server.port().pendingRelease(id)
                .ifPresent(token -> context.replication().serverReleasePending(id, server.id(), token));
    }

    /** The call has ended at its server, or was cut; its client is told. */
    void end(Call call, Outcome outcome) {
        String id = call.id();
        if (!context.replication().mayAct(id)) {
            context.replication().defer(new CallEvent.Ended(id, outcome));
            return;
        }
        context.counters().count(outcome == Outcome.COMPLETED ? Name.RELEASED_BY_SERVER : Name.CUT);
        context.complete(call);
        notifyClient(call.client(), id, outcome);
        attempts.end(call, outcome, true);
    }

    /** Tells the clients behind a port of a call's end, now or on their next connection. */
    void notifyClient(ClientPort client, String id, Outcome outcome) {
        if (!context.clients().notifyRelease(client, id, outcome)) {
            context.replication().clientReleasePending(id, client, outcome);
        }
    }

    /** The same for a call of which no client is known: any connection will do. */
    void notifyAnyClient(String id, Outcome outcome) {
        notifyClient(ClientPort.UNKNOWN, id, outcome);
    }

    /** All calls at a server were cut. */
    void cutAll(Server server) {
        context.calls().establishedAt(server).forEach(call -> end(call, Outcome.RESET));
    }

    /**
     * A server's process is gone or, where that is not certain, can't be reached. In that case the calls are released should
     * it be reached after all, or they would be established there for good.
     */
    void serverLost(Server server, boolean isCertain) {
        for (Call call : context.calls().establishedAt(server)) {
            if (isCertain || context.replication().mayAct(call.id())) {
                end(call, Outcome.RESET);
                if (!isCertain) {
                    releaseAt(server, call.id(), NO_CONTENT);
                }
            }
        }
    }

    /** Goes on with a call of another controller; false where the list does not name its server. */
    boolean adopt(String id, long serverId, ClientPort client, byte[] releaseToken) {
        Optional<Server> server = servers.find(serverId).filter(known -> !known.isGone());
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

    /** Another controller acts on this call from now on. */
    void disown(String id) {
        context.calls().findEstablished(id).ifPresent(call -> {
            CallTrace.step(id, "disowned");
            context.counters().count(Name.DISOWNED);
            context.calls().remove(call);
        });
        context.clients().dropPendingRelease(id);
    }

    /** Another controller left a call's release to its server undone. */
    void deliverServerRelease(String id, long serverId, byte[] releaseToken) {
        servers.find(serverId).ifPresent(server -> {
            server.port().adopt(id, releaseToken);
            releaseAt(server, id, NO_CONTENT);
        });
    }

    /** Releases a call at every server that the list has: it is not known at which it is established. */
    void releaseAtAllServers(String id) {
        List<Server> listed = servers.all().stream().filter(server -> !server.isGone()).toList();
        listed.forEach(server -> server.port().releaseUnknown(id));
    }
}
