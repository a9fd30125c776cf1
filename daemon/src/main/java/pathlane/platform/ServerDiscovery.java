package pathlane.platform;

import pathlane.core.ServiceDirectory;

/** Where the session servers are heard of in place of the event bus. */
public interface ServerDiscovery extends ServiceDirectory {

    /** Whether a server that drains would be known by now. */
    boolean isCurrent();
}
