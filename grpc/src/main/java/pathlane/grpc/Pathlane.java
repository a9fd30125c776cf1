package pathlane.grpc;

import com.google.gson.Gson;
import io.grpc.ManagedChannelBuilder;
import io.grpc.SynchronizationContext;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import pathlane.config.Settings;
import pathlane.core.Counters;
import pathlane.core.Scheduler;

/**
 * The call controller as a plug-in for gRPC channels. The decision module chooses the server for each call, schedules
 * and repeats attempts and rejects calls under overload, by the same rules as in a daemon.
 *
 * <pre>{@code
 * Pathlane pathlane = Pathlane.builder().configuration(json).build();
 * ManagedChannel channel = pathlane.attach(Grpc.newChannelBuilder(target, credentials)).build();
 * }</pre>
 *
 * <p>All channels attached to one plug-in share one controller and count as one sender, so they must have the same
 * target. Thread-safe.
 */
public final class Pathlane implements AutoCloseable {

    private final Engine engine;
    private final ScheduledExecutorService ownTimers;

    private Pathlane(Engine engine, ScheduledExecutorService ownTimers) {
        this.engine = engine;
        this.ownTimers = ownTimers;
    }

    /** Returns a builder. If it is given no settings, the plug-in takes them from the service config. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Attaches the plug-in to a channel builder and returns that builder. The channel then uses the load-balancing policy
     * {@code pathlane} unless its service config names another, and gRPC's retryPolicy and hedgingPolicy make no attempts
     * on it. Interceptors added after this call see the application's calls; those added before see the attempts.
     */
    public <T extends ManagedChannelBuilder<T>> T attach(T channel) {
        Attachment attachment = new Attachment(engine);
        channel.defaultLoadBalancingPolicy(PathlaneLoadBalancerProvider.POLICY).intercept(attachment)
                .setNameResolverArg(Attachment.KEY, attachment);
        // Transparent retries stay enabled because they reveal that a stream was never processed. The picker drops them.
        return channel.enableRetry().maxRetryAttempts(1).maxHedgedAttempts(1);
    }

    /**
     * Attaches the plug-in to a channel builder and sets the application's own default service config.
     *
     * @throws IllegalArgumentException if the service config has a hedgingPolicy: pathlane makes the attempts itself
     */
    public <T extends ManagedChannelBuilder<T>> T attach(T channel, Map<String, ?> serviceConfig) {
        if (serviceConfig.get("methodConfig") instanceof List<?> methods) {
            for (Object method : methods) {
                if (method instanceof Map<?, ?> methodConfig && methodConfig.containsKey("hedgingPolicy")) {
                    throw new IllegalArgumentException(
                            "the service config has a hedgingPolicy for " + methodConfig.get("name")
                                    + ": pathlane makes the attempts itself, so remove the hedgingPolicy");
                }
            }
        }
        return attach(channel.defaultServiceConfig(serviceConfig));
    }

    /**
     * Returns the controller's counters since its start. Each try that an application makes counts as a call of its own.
     *
     * @throws IllegalStateException if no settings have been received from a channel's service config yet
     */
    public Counters counters() {
        if (engine.controller() == null) {
            throw new IllegalStateException("no settings received from a service config yet");
        }
        return engine.controller().counters();
    }

    /**
     * Counts of calls, where all tries of one call belong together.
     *
     * @param calls first tries
     * @param retries further tries of calls that had failed, recognized by their mark or by their request
     * @param heldBack tries that were delayed until the retry delay after an earlier lost attempt was over
     */
    public record Tries(long calls, long retries, long heldBack) {}

    /** Returns the counts of calls and their tries since the start. */
    public Tries tries() {
        return engine.retries() == null ? new Tries(0, 0, 0) : new Tries(engine.retries().firstCalls(),
                engine.retries().retries(), engine.retries().delayed());
    }

    /** Ends open calls with UNAVAILABLE as their final answer. Established streams continue and channels stay open. */
    @Override
    public void close() {
        engine.execute(engine::close);
        if (ownTimers != null) {
            ownTimers.shutdown();
        }
    }

    Engine engine() {
        return engine;
    }

    /** Builds a plug-in from its configuration. Not thread-safe. */
    public static final class Builder {

        private PluginConfig config;
        private final Map<String, String> classes = new HashMap<>();
        private String defaultClass;
        private int remembered = PluginConfig.DEFAULT_REMEMBERED_CALLS;
        private ScheduledExecutorService timers;
        private Long seed;
        private Function<SynchronizationContext, Scheduler> time;

        private Builder() {}

        /**
         * Sets the settings from JSON: the object {@code settings} of a daemon's configuration, optionally with an object
         * {@code plug-in} next to its keys.
         *
         * @throws IllegalArgumentException if the configuration is invalid
         */
        public Builder configuration(String json) {
            config = PluginConfig.read(json);
            return this;
        }

        /** Sets the settings from a map, the form in which gRPC represents JSON. */
        public Builder configuration(Map<String, ?> json) {
            return configuration(new Gson().toJson(json));
        }

        /** Sets the settings, without the keys that only the plug-in has. */
        public Builder settings(Settings settings) {
            config = new PluginConfig(settings, Optional.empty(), Map.of(), PluginConfig.DEFAULT_REMEMBERED_CALLS);
            return this;
        }

        /** Sets the class of calls that have no other; the default is the class with the lowest priority weight. */
        public Builder defaultClass(String name) {
            defaultClass = name;
            return this;
        }

        /** Sets the class of calls of a method, by its full name ({@code package.Service/Method}), or of a service. */
        public Builder callClass(String methodOrService, String name) {
            classes.put(methodOrService, name);
            return this;
        }

        /** Sets how many failed calls are remembered at a time to recognize their retries; the default is 16,384. */
        public Builder remembered(int calls) {
            remembered = calls;
            return this;
        }

        /** Sets the executor that runs the timers; the default is a daemon thread of the plug-in. */
        public Builder timers(ScheduledExecutorService executor) {
            timers = executor;
            return this;
        }

        /** Sets the seed of all random decisions of the controller; the default is a new random seed. */
        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /** For tests: sets a scheduler whose time the test controls. */
        Builder time(Function<SynchronizationContext, Scheduler> source) {
            time = source;
            return this;
        }

        /**
         * Builds the plug-in.
         *
         * @throws IllegalArgumentException if a class is not in the settings, or is given here without settings
         */
        public Pathlane build() {
            boolean hasOwnOptions =
                    defaultClass != null || !classes.isEmpty() || remembered != PluginConfig.DEFAULT_REMEMBERED_CALLS;
            if (config == null && hasOwnOptions) {
                throw new IllegalArgumentException(
                        "classes and limits need settings: without them, set both in the service config");
            }
            if (config != null && hasOwnOptions) {
                Map<String, String> allClasses = new HashMap<>(config.classes());
                allClasses.putAll(classes);
                config = new PluginConfig(config.settings(),
                        defaultClass == null ? config.defaultClass() : Optional.of(defaultClass), allClasses, remembered);
            }
            long engineSeed = seed != null ? seed : ThreadLocalRandom.current().nextLong();
            if (time != null) {
                return new Pathlane(new Engine(config, engineSeed, time), null);
            }
            ScheduledExecutorService ownTimers = timers == null ? newTimers() : null;
            ScheduledExecutorService usedTimers = timers == null ? ownTimers : timers;
            return new Pathlane(new Engine(config, engineSeed, context -> new ExecutorScheduler(usedTimers, context)),
                    ownTimers);
        }

        private static ScheduledExecutorService newTimers() {
            ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1, task -> {
                Thread thread = new Thread(task, "pathlane-timers");
                thread.setDaemon(true);
                return thread;
            });
            executor.setRemoveOnCancelPolicy(true);
            executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
            return executor;
        }
    }
}
