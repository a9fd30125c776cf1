package pathlane.grpc;

import io.grpc.SynchronizationContext;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import pathlane.config.Millis;
import pathlane.config.Settings;
import pathlane.core.CallController;
import pathlane.core.CallRequest;
import pathlane.core.ClientPort;
import pathlane.core.Scheduler;
import pathlane.core.ServerEndpoint;
import pathlane.core.ServerPort;
import pathlane.decision.Outcome;
import pathlane.retry.RetryTracker;

/**
 * The controller inside the plug-in, shared by the channels that it is attached to. Everything in it happens in one
 * turn, {@link #execute}: one task at a time, on whichever thread brings it, so that a call in quiet times changes no
 * thread.
 */
final class Engine implements ClientPort {

    private static final Logger LOG = System.getLogger("grpc");
    private static final byte[] NOTHING = {};

    private final SynchronizationContext turn = new SynchronizationContext(
            (thread, fault) -> LOG.log(Level.ERROR, "fault in the plug-in", fault));
    private final Scheduler time;
    private final long seed;
    private final Map<String, PluginCall<?, ?>> calls = new HashMap<>();
    private final Directory directory = new Directory();
    private PluginConfig config;
    private CallController controller;
    private RetryTracker retries;
    private String target;
    private long lastId;
    private boolean closed;

    /** {@code config} is null where the service config is to bring it. */
    Engine(PluginConfig config, long seed, Function<SynchronizationContext, Scheduler> time) {
        this.seed = seed;
        this.time = time.apply(turn);
        if (config != null) {
            configure(config);
        }
    }

    /** Runs a task in the engine's turn: now, on this thread, unless another thread's task is at it. */
    void execute(Runnable task) {
        turn.execute(task);
    }

    // ---- all that follows happens in the turn

    /** The first configuration is the one that holds; it is read once, as a daemon's. */
    void configure(PluginConfig fresh) {
        if (config != null) {
            if (!config.equals(fresh)) {
                LOG.log(Level.WARNING, "another configuration came by the service config; the first one stays");
            }
            return;
        }
        config = fresh;
        Settings settings = fresh.settings();
        double longest = settings.classes().stream().mapToDouble(Settings.CallClass::deadlineMs).max().orElseThrow();
        retries = new RetryTracker(fresh.remembered(), Math.max(longest, settings.rules().retryDelayMs()),
                settings.rules().retryDelayMs());
        controller = new CallController(settings, seed, time, line -> new Port(line.id()));
        controller.clientConnected(this);
    }

    boolean isConfigured() {
        return config != null;
    }

    PluginConfig config() {
        return config;
    }

    CallController controller() {
        return controller;
    }

    RetryTracker retries() {
        return retries;
    }

    Scheduler time() {
        return time;
    }

    double nowMs() {
        return Millis.of(time.now());
    }

    /**
     * Channels that share a controller share its servers: one for another target would be sent to servers that are
     * not its own. Returns the target that it should have been, or null where it is the same.
     */
    String otherTarget(String channelTarget) {
        target = target == null ? channelTarget : target;
        return target.equals(channelTarget) ? null : target;
    }

    /** A channel's resolver names its servers. */
    void named(Attachment channel, List<ServerEndpoint> lines) {
        directory.named(channel, lines);
        tellList();
    }

    /** A channel has no load balancer any more: it is idle, or shut down. */
    void silent(Attachment channel) {
        directory.silent(channel);
    }

    private void tellList() {
        if (directory.isAny()) {
            controller.updateServers(true, directory.lines());
        }
    }

    /** Servers that the controller was last told of, those that drain included. */
    int listedServers() {
        return directory.listed();
    }

    void attemptBegins(long server) {
        directory.callBegins(server);
    }

    void attemptOver(long server) {
        if (directory.callEnds(server)) {
            tellList();
        }
    }

    long nextId() {
        return ++lastId;
    }

    void begin(String id, PluginCall<?, ?> call) {
        calls.put(id, call);
    }

    void over(String id) {
        calls.remove(id);
    }

    boolean isClosed() {
        return closed;
    }

    /** Calls that are open are refused; what stands goes on without the controller. */
    void close() {
        closed = true;
        for (PluginCall<?, ?> call : new ArrayList<>(calls.values())) {
            call.abandon();
        }
    }

    /** What is kept, of whatever kind: it must not grow with the length of the day. */
    int kept() {
        return calls.size() + directory.kept() + (controller == null ? 0 : controller.retainedEntries());
    }

    // ---- the core's way to the callers, by id

    @Override
    public void answer(String id, byte[] description) {
        calls.get(id).stands();
    }

    @Override
    public void reject(String id, Duration comeBackAfter) {
        calls.get(id).refused(comeBackAfter);
    }

    @Override
    public void fail(String id) {
        calls.get(id).failed();
    }

    @Override
    public void release(String id, Outcome how) {
        if (calls.containsKey(id)) {
            calls.get(id).releasedByController();
        }
    }

    /** The core's way to one server: whichever channel a call came by, it leaves by that channel's path. */
    private final class Port implements ServerPort {

        private final long server;

        Port(long server) {
            this.server = server;
        }

        @Override
        public void sendRequest(CallRequest setUp, Duration patience, boolean mayHaveRun) {
            calls.get(setUp.id()).attempt(server, patience);
        }

        @Override
        public void cancel(String id) {
            calls.get(id).giveUpAttempt();
        }

        @Override
        public void release(String id, Outcome how, byte[] content) {
            if (calls.containsKey(id)) {
                calls.get(id).releasedByController();
            }
        }

        @Override
        public void drain() {
            calls.values().stream().map(call -> call.waitingPath(server)).filter(path -> path != null).distinct()
                    .toList().forEach(ServerPath::endWaiting);
        }

        @Override
        public void close() {
            drain();
        }
    }

    /** A call's answer is the server's from its attempt: nothing is passed through the core. */
    static byte[] nothing() {
        return NOTHING;
    }
}
