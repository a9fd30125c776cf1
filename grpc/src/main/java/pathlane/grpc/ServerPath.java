package pathlane.grpc;

import io.grpc.ConnectivityState;
import io.grpc.LoadBalancer.Subchannel;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * One channel's way to one server. The picker reads the state from any thread; all else happens in the plug-in's turn.
 */
final class ServerPath {

    final long server;
    final Subchannel subchannel;
    private final Runnable connect;
    private final Set<Attempt<?, ?>> waiting = new LinkedHashSet<>();
    private volatile ConnectivityState state = ConnectivityState.IDLE;

    /** {@code connect} asks the subchannel for a connection, in the turn that it wants. */
    ServerPath(long server, Subchannel subchannel, Runnable connect) {
        this.server = server;
        this.subchannel = subchannel;
        this.connect = connect;
    }

    boolean isReady() {
        return state == ConnectivityState.READY;
    }

    /** Whether a connection may still come up by itself. */
    boolean mayComeUp() {
        return state != ConnectivityState.TRANSIENT_FAILURE && state != ConnectivityState.SHUTDOWN;
    }

    /** From any thread: what the picker sees changes before anybody is told of it. */
    void state(ConnectivityState now) {
        state = now;
    }

    /** The state has changed: attempts that waited for a connection leave, or learn that there is none. */
    void settle() {
        if (isReady()) {
            waiting.removeIf(attempt -> {
                attempt.leave();
                return true;
            });
        } else if (!mayComeUp()) {
            endWaiting();
        }
    }

    /** Nothing new goes there: what has not left yet comes back. */
    void endWaiting() {
        Set<Attempt<?, ?>> ended = Set.copyOf(waiting);
        waiting.clear();
        ended.forEach(Attempt::neverLeft);
    }

    void await(Attempt<?, ?> attempt) {
        waiting.add(attempt);
        connect.run();
    }

    void awaitsNoMore(Attempt<?, ?> attempt) {
        waiting.remove(attempt);
    }
}
