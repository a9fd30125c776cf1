package pathlane.core;

import pathlane.decision.RoutingPolicy;

/** Calls and servers that belong together, with a routing policy of their own. On the loop's thread. */
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

    /** Whether calls of it are open or established. */
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
