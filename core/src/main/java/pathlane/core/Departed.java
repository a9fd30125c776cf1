package pathlane.core;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/** Servers that have gone from the list, the latest of them: tells them from those that it has yet to name. */
final class Departed {

    private static final int MOST = 4096;

    private final Deque<Long> order = new ArrayDeque<>();
    private final Set<Long> servers = new HashSet<>();

    void add(long server) {
        if (servers.add(server)) {
            order.add(server);
        }
        if (order.size() > MOST) {
            servers.remove(order.poll());
        }
    }

    boolean contains(long server) {
        return servers.contains(server);
    }
}
