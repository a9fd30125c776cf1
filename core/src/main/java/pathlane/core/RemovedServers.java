package pathlane.core;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/** Servers that have gone from the list, the latest of them: tells them from those that it has yet to name. */
final class RemovedServers {

    private static final int MOST = 4096;

    private final Deque<Long> oldestFirst = new ArrayDeque<>();
    private final Set<Long> ids = new HashSet<>();

    void add(long id) {
        if (ids.add(id)) {
            oldestFirst.add(id);
        }
        if (oldestFirst.size() > MOST) {
            ids.remove(oldestFirst.poll());
        }
    }

    boolean contains(long id) {
        return ids.contains(id);
    }
}
