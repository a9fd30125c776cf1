package pathlane.core;

import pathlane.decision.ServerStatus;

/** A session server that the list names, and the way to it. On the loop's thread. */
final class Server {

    private final Service service;
    private final ServerPort port;
    private ServerEndpoint endpoint;
    private int establishedCalls;

    Server(Service service, ServerEndpoint endpoint, ServerPort port) {
        this.service = service;
        this.endpoint = endpoint;
        this.port = port;
    }

    long id() {
        return endpoint.id();
    }

    Service service() {
        return service;
    }

    ServerPort port() {
        return port;
    }

    ServerEndpoint endpoint() {
        return endpoint;
    }

    /** The list says something else of the server. */
    void update(ServerEndpoint changed) {
        endpoint = changed;
    }

    boolean isRunning() {
        return endpoint.status() == ServerStatus.RUNNING;
    }

    boolean isGone() {
        return endpoint.status() == ServerStatus.GONE;
    }

    /** Calls that are established there. */
    int establishedCalls() {
        return establishedCalls;
    }

    void callEstablished() {
        establishedCalls++;
    }

    void callEnded() {
        establishedCalls--;
    }
}
