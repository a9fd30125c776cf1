package pathlane.core;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The calls of a controller by id, with their numbers per client connection, server and service. Runs on the event loop's
 * thread.
 */
final class CallTable {

    private final ClientConnections clients;
    private final Map<String, Call> calls = new HashMap<>();

    CallTable(ClientConnections clients) {
        this.clients = clients;
    }

    Optional<Call> find(String id) {
        return Optional.ofNullable(calls.get(id));
    }

    Optional<Call> findOpen(String id) {
        return find(id).filter(call -> !call.isEstablished());
    }

    Optional<Call> findEstablished(String id) {
        return find(id).filter(Call::isEstablished);
    }

    boolean contains(String id) {
        return calls.containsKey(id);
    }

    /** Returns whether the table contains this very object and the call waits for its final answer. */
    boolean isOpen(Call call) {
        return calls.get(call.id()) == call && !call.isEstablished();
    }

    /** Adds a call that a client has requested. */
    void addOpen(Call call) {
        add(call);
        clients.usage(call.client()).open++;
    }

    /** Adds a call that another controller established. It does not count towards its client's connection. */
    void addAdopted(Call call, Server server) {
        add(call);
        server.callEstablished();
    }

    private void add(Call call) {
        calls.put(call.id(), call);
        call.service().callAdded();
    }

    /** Marks a call as established at a server. */
    void established(Call call, Server server, Instant now) {
        call.established(now);
        server.callEstablished();
        ClientConnections.Usage usage = clients.usage(call.client());
        usage.open--;
        usage.established++;
        usage.hasHadEstablishedCall = true;
    }

    /** Moves a call to another connection of its client, which gets the answer. */
    void moveTo(Call call, ClientPort client) {
        ClientConnections.Usage previous = clients.usage(call.client());
        ClientConnections.Usage next = clients.usage(client);
        if (call.isEstablished()) {
            previous.established--;
            next.established++;
            next.hasHadEstablishedCall = true;
        } else {
            previous.open--;
            next.open++;
        }
        call.moveTo(client);
    }

    /** Removes a call, whatever its state. */
    void remove(Call call) {
        calls.remove(call.id());
        call.service().callRemoved();
        ClientConnections.Usage usage = clients.usage(call.client());
        if (call.isEstablished()) {
            usage.established--;
            call.server().ifPresent(Server::callEnded);
        } else {
            usage.open--;
        }
    }

    /** Returns the open calls whose answers go to this connection. */
    List<Call> openOf(ClientPort client) {
        return calls.values().stream().filter(call -> call.client() == client && !call.isEstablished()).toList();
    }

    /** Returns the calls that are established at a server. */
    List<Call> establishedAt(Server server) {
        if (server.establishedCalls() == 0) {
            return List.of();
        }
        return calls.values().stream().filter(call -> call.isEstablished() && call.isAt(server)).toList();
    }

    /** Returns the number of calls that wait for their final answer. */
    long openCount() {
        return calls.values().stream().filter(call -> !call.isEstablished()).count();
    }

    int size() {
        return calls.size();
    }
}
