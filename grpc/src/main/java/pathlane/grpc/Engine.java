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
 * Runs the controller inside the plug-in, shared by all attached channels. All its tasks run through {@link #execute} in
 * one synchronization context, one at a time, on the thread that submits them, so that without contention a call doesn't
 * switch threads.
 */
final class Engine implements ClientPort {

    private static final Logger LOG = System.getLogger("grpc");
    private static final byte[] EMPTY_CONTENT = {};

    private final SynchronizationContext synchronizationContext = new SynchronizationContext(
            (thread, error) -> LOG.log(Level.ERROR, "uncaught exception in the plug-in", error));
    private final Scheduler scheduler;
    private final long seed;
    private final Map<String, PluginCall<?, ?>> calls = new HashMap<>();
    private final MergedServerList serverList = new MergedServerList();
    private PluginConfig config;
    private CallController controller;
    private RetryTracker retries;
    private String target;
    private long lastId;
    private boolean closed;

    /** {@code config} is null if it will come from the service config. */
    Engine(PluginConfig config, long seed, Function<SynchronizationContext, Scheduler> schedulerFactory) {
        this.seed = seed;
        this.scheduler = schedulerFactory.apply(synchronizationContext);
        if (config != null) {
            configure(config);
        }
    }

    /** Runs a task in the engine's synchronization context: now and on this thread, unless another thread is running one. */
    void execute(Runnable task) {
        synchronizationContext.execute(task);
    }

    // ---- all methods below run in the synchronization context

    /** Sets the configuration. As in a daemon it is read once, and later ones are ignored. */
    void configure(PluginConfig newConfig) {
        if (config != null) {
            if (!config.equals(newConfig)) {
                LOG.log(Level.WARNING,
                        "ignored a different configuration from the service config; the first one stays in force");
            }
            return;
        }
        config = newConfig;
        Settings settings = newConfig.settings();
        double maxDeadlineMs = settings.classes().stream().mapToDouble(Settings.CallClass::deadlineMs).max().orElseThrow();
        retries = new RetryTracker(newConfig.remembered(), Math.max(maxDeadlineMs, settings.rules().retryDelayMs()),
                settings.rules().retryDelayMs());
        controller = new CallController(settings, seed, scheduler, endpoint -> new EngineServerPort(endpoint.id()));
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

    Scheduler scheduler() {
        return scheduler;
    }

    double nowMs() {
        return Millis.of(scheduler.now());
    }

    /**
     * Checks a channel's target. Channels that share a controller share its servers, so a channel with another target
     * would use servers that are not its own. Returns the expected target, or null if it is the same.
     */
    String mismatchedTarget(String channelTarget) {
        target = target == null ? channelTarget : target;
        return target.equals(channelTarget) ? null : target;
    }

    /** Updates the list of servers from a channel's resolver. */
    void updateServerList(Attachment channel, List<ServerEndpoint> endpoints) {
        serverList.setList(channel, endpoints);
        updateControllerServers();
    }

    /** Removes the list of a channel that has lost its load balancer because it is idle or shut down. */
    void removeServerList(Attachment channel) {
        serverList.removeSource(channel);
    }

    private void updateControllerServers() {
        if (serverList.hasListedServer()) {
            controller.updateServers(true, serverList.merge());
        }
    }

    /** Returns the number of servers in the controller's list, including draining ones. */
    int listedServerCount() {
        return serverList.size();
    }

    void attemptStarted(long server) {
        serverList.attemptStarted(server);
    }

    void attemptEnded(long server) {
        if (serverList.attemptEnded(server)) {
            updateControllerServers();
        }
    }

    long nextId() {
        return ++lastId;
    }

    void addCall(String id, PluginCall<?, ?> call) {
        calls.put(id, call);
    }

    void removeCall(String id) {
        calls.remove(id);
    }

    boolean isClosed() {
        return closed;
    }

    /** Ends open calls with UNAVAILABLE. Established calls continue without the controller. */
    void close() {
        closed = true;
        for (PluginCall<?, ?> call : new ArrayList<>(calls.values())) {
            call.abort();
        }
    }

    /** Returns the number of retained entries of all kinds; it must not grow with the time that the plug-in runs. */
    int retainedEntries() {
        return calls.size() + serverList.retainedEntries() + (controller == null ? 0 : controller.retainedEntries());
    }

    // ---- the core's answers to calls, by call id

    @Override
    public void answer(String id, byte[] description) {
        calls.get(id).callEstablished();
    }

    @Override
    public void reject(String id, Duration retryAfter) {
        calls.get(id).callRejected(retryAfter);
    }

    @Override
    public void fail(String id) {
        calls.get(id).callFailed();
    }

    @Override
    public void release(String id, Outcome outcome) {
        if (calls.containsKey(id)) {
            calls.get(id).releasedByController();
        }
    }

    /** The core's port to one server. Each call is sent through the channel that it was made on. */
    private final class EngineServerPort implements ServerPort {

        private final long server;

        EngineServerPort(long server) {
            this.server = server;
        }

        @Override
        public void sendRequest(CallRequest request, Duration remainingDeadline, boolean mayHaveRun) {
            calls.get(request.id()).startAttempt(server, remainingDeadline);
        }

        @Override
        public void cancel(String id) {
            calls.get(id).cancelAttempt();
        }

        @Override
        public void release(String id, Outcome outcome, byte[] content) {
            if (calls.containsKey(id)) {
                calls.get(id).releasedByController();
            }
        }

        @Override
        public void drain() {
            calls.values().stream().map(call -> call.waitingPath(server)).filter(path -> path != null).distinct()
                    .toList().forEach(ServerPath::failWaiting);
        }

        @Override
        public void close() {
            drain();
        }
    }

    /** Empty content: the server's answer goes from the attempt to the application and not through the core. */
    static byte[] emptyContent() {
        return EMPTY_CONTENT;
    }
}
