package pathlane.discovery;

import java.util.List;
import pathlane.core.ServerEndpoint;

/**
 * The state of one service at one revision of a catalogue.
 *
 * @param service the service's name, 1 to 64 bytes of UTF-8
 * @param revision the catalogue's revision at which the service last changed
 * @param digest {@link ServiceDigest} of the content
 * @param endpoints the session servers of the service in ascending order of their ids, including draining ones; removed
 *                  servers are not listed
 * @param configuration the service's configuration, opaque text; empty if there is none
 */
public record ServiceState(String service, Revision revision, long digest, List<ServerEndpoint> endpoints,
        String configuration) {}
