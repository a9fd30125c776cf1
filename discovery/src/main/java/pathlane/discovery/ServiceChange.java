package pathlane.discovery;

import java.util.List;
import java.util.Optional;
import pathlane.core.ServerEndpoint;

/** One service's part of a {@link WatchMessage.Update}. */
public sealed interface ServiceChange {

    String service();

    /** The revision that the service has once this has been applied. */
    Revision revision();

    /** The whole state of a service, in place of whatever the receiver holds. */
    record Snapshot(ServiceState state) implements ServiceChange {
        @Override
        public String service() {
            return state.service();
        }

        @Override
        public Revision revision() {
            return state.revision();
        }
    }

    /**
     * What has changed since a revision. It may be applied only to a state at exactly {@code from}, and the result must have
     * the digest; anything else is answered by asking for a snapshot.
     *
     * @param upserted endpoints that are new or differ
     * @param removed ids of endpoints that are gone
     * @param configuration the new configuration, where it has changed
     */
    record Delta(String service, Revision from, Revision revision, long digest, List<ServerEndpoint> upserted,
            List<Long> removed, Optional<String> configuration) implements ServiceChange {}

    /** The catalogue has no such service at this revision. */
    record Absent(String service, Revision revision) implements ServiceChange {}
}
