package pathlane.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The calls of a controller by id, and how many of them each client's connection, server and service has. On the loop's
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

    /** Whether this very call is on the table and waits for its final answer. */
    boolean isOpen(Call call) {
        return calls.get(call.id()) == call && !call.isEstablished();
    }

    /** A client has asked for the call. */
    void addOpen(Call call) {
        add(call);
        clients.usage(call.client()).open++;
    }

    /** Another controller established the call. Its client's connection is not charged with it. */
    void addAdopted(Call call, Server server) {
        add(call);
        server.callEstablished();
    }

    private void add(Call call) {
        calls.put(call.id(), call);
        call.service().callAdded();
    }

    /** The call's attempt at a server was answered. */
    void established(Call call, Server server) {
        call.established();
        server.callEstablished();
        ClientConnections.Usage usage = clients.usage(call.client());
        usage.open--;
        usage.established++;
        usage.hasServed = true;
    }

    /** An open call's answer goes to another connection of its client from now on. */
    void moveTo(Call call, ClientPort client) {
        clients.usage(call.client()).open--;
        clients.usage(client).open++;
        call.moveTo(client);
    }

    /** Takes a call off the table, whatever its state. */
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

    /** Open calls whose answers go to this connection. */
    List<Call> openOf(ClientPort client) {
        return calls.values().stream().filter(call -> call.client() == client && !call.isEstablished()).toList();
    }

    /** Calls that are established at a server. */
    List<Call> establishedAt(Server server) {
        if (server.establishedCalls() == 0) {
            return List.of();
        }
        return calls.values().stream().filter(call -> call.isEstablished() && call.isAt(server)).toList();
    }

    /** Calls that wait for their final answer. */
    long openCount() {
        return calls.values().stream().filter(call -> !call.isEstablished()).count();
    }

    int size() {
        return calls.size();
    }
}
