package pathlane.platform;

import pathlane.core.ServiceDirectory;

/** A source of the session servers that replaces the event bus. */
public interface ServerDiscovery extends ServiceDirectory {

    /** Whether the source would have reported by now that a server has begun to drain. */
    boolean isCurrent();
}
