package pathlane.core;

import pathlane.decision.RoutingPolicy;

/** A service: a set of calls and servers with its own routing policy. Used on the event loop's thread. */
final class Service {

    private final String name;
    private final RoutingPolicy policy;
    private int calls;

    Service(String name, RoutingPolicy policy) {
        this.name = name;
        this.policy = policy;
    }

    String name() {
        return name;
    }

    RoutingPolicy policy() {
        return policy;
    }

    /** Returns whether the service has open or established calls. */
    boolean hasCalls() {
        return calls > 0;
    }

    void callAdded() {
        calls++;
    }

    void callRemoved() {
        calls--;
    }
}
