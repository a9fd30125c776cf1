package pathlane.discovery;

import java.util.List;
import java.util.Optional;
import pathlane.core.ServerEndpoint;

/** The change of one service in a {@link WatchMessage.Update}. */
public sealed interface ServiceChange {

    String service();

    /** The service's revision after the change. */
    Revision revision();

    /** The complete state of a service, which replaces the receiver's state. */
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
     * The difference to an earlier revision. It may be applied only to the state at exactly {@code from}, and the result
     * must have the digest; otherwise the receiver requests a snapshot.
     *
     * @param upserted new or changed endpoints
     * @param removed ids of removed endpoints
     * @param configuration the new configuration, if it has changed
     */
    record Delta(String service, Revision from, Revision revision, long digest, List<ServerEndpoint> upserted,
            List<Long> removed, Optional<String> configuration) implements ServiceChange {}

    /** The catalogue has no such service at this revision. */
    record Absent(String service, Revision revision) implements ServiceChange {}
}
