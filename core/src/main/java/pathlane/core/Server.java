package pathlane.core;

import pathlane.decision.ServerStatus;

/** A listed session server, its port and its number of established calls. Used on the event loop's thread. */
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

    /** Replaces the server list's entry for the server. */
    void update(ServerEndpoint changed) {
        endpoint = changed;
    }

    boolean isRunning() {
        return endpoint.status() == ServerStatus.RUNNING;
    }

    boolean isGone() {
        return endpoint.status() == ServerStatus.GONE;
    }

    /** Returns the number of calls that are established at the server. */
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
