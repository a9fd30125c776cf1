package pathlane.core;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/** Remembers the servers that were last removed from the server list, to distinguish them from servers not yet listed. */
final class RemovedServers {

    private static final int MAX_ENTRIES = 4096;

    private final Deque<Long> oldestFirst = new ArrayDeque<>();
    private final Set<Long> ids = new HashSet<>();

    void add(long id) {
        if (ids.add(id)) {
            oldestFirst.add(id);
        }
        if (oldestFirst.size() > MAX_ENTRIES) {
            ids.remove(oldestFirst.poll());
        }
    }

    boolean contains(long id) {
        return ids.contains(id);
    }
}
