package pathlane.core;

import pathlane.decision.RoutingPolicy;

/** Calls and servers that belong together, with a decision module of their own. On the loop's thread. */
final class Service {

    final String name;
    final RoutingPolicy module;
    /** Calls of it, open or standing. */
    int calls;

    Service(String name, RoutingPolicy module) {
        this.name = name;
        this.module = module;
    }
}
