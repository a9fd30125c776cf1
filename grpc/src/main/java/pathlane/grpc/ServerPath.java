package pathlane.grpc;

import io.grpc.ConnectivityState;
import io.grpc.LoadBalancer.Subchannel;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * One channel's path to one server. The picker reads the state from any thread; everything else happens in the engine's
 * synchronization context.
 */
final class ServerPath {

    final long server;
    final Subchannel subchannel;
    private final Runnable connect;
    private final Set<Attempt<?, ?>> waiting = new LinkedHashSet<>();
    private volatile ConnectivityState state = ConnectivityState.IDLE;

    /** {@code connect} requests a connection from the subchannel, in the channel's synchronization context. */
    ServerPath(long server, Subchannel subchannel, Runnable connect) {
        this.server = server;
        this.subchannel = subchannel;
        this.connect = connect;
    }

    boolean isReady() {
        return state == ConnectivityState.READY;
    }

    /** Returns whether a connection may still be established without a further request. */
    boolean mayConnect() {
        return state != ConnectivityState.TRANSIENT_FAILURE && state != ConnectivityState.SHUTDOWN;
    }

    /** Thread-safe: sets the state that the picker sees, before waiting attempts are processed. */
    void setState(ConnectivityState newState) {
        state = newState;
    }

    /** Sends the waiting attempts if the connection is ready, or ends them if it has failed. */
    void processStateChange() {
        if (isReady()) {
            waiting.removeIf(attempt -> {
                attempt.send();
                return true;
            });
        } else if (!mayConnect()) {
            failWaiting();
        }
    }

    /** Ends all attempts that wait for the connection as not sent. */
    void failWaiting() {
        Set<Attempt<?, ?>> ended = Set.copyOf(waiting);
        waiting.clear();
        ended.forEach(Attempt::endUnsent);
    }

    void addWaiting(Attempt<?, ?> attempt) {
        waiting.add(attempt);
        connect.run();
    }

    void removeWaiting(Attempt<?, ?> attempt) {
        waiting.remove(attempt);
    }
}
