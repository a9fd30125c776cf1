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
 * The call controller as a plug-in of gRPC channels: which server a call goes to, when, whether it is tried again, and
 * whom to turn away are the decision module's, under the same rules as a daemon's.
 *
 * <pre>{@code
 * Pathlane pathlane = Pathlane.builder().configuration(json).build();
 * ManagedChannel channel = pathlane.attach(Grpc.newChannelBuilder(target, credentials)).build();
 * }</pre>
 *
 * <p>Channels that one plug-in is attached to share one controller and count as one sender; they must have the same
 * target. Thread-safe.
 */
public final class Pathlane implements AutoCloseable {

    private final Engine engine;
    private final ScheduledExecutorService ownTimers;

    private Pathlane(Engine engine, ScheduledExecutorService ownTimers) {
        this.engine = engine;
        this.ownTimers = ownTimers;
    }

    /** Starts a plug-in's configuration. Without settings there, they are awaited from the service config. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Attaches the plug-in to a channel that is about to be built, and returns its builder. The channel's policy is
     * {@code pathlane} then unless its service config names another. gRPC's retryPolicy and hedgingPolicy make no
     * attempts on it. Interceptors that are added later see the application's calls, earlier ones see attempts.
     */
    public <T extends ManagedChannelBuilder<T>> T attach(T channel) {
        Attachment attachment = new Attachment(engine);
        channel.defaultLoadBalancingPolicy(PathlaneLoadBalancerProvider.POLICY).intercept(attachment)
                .setNameResolverArg(Attachment.KEY, attachment);
        // Transparent retries stay on: by them it shows that a stream never ran. The picker lets none leave.
        return channel.enableRetry().maxRetryAttempts(1).maxHedgedAttempts(1);
    }

    /**
     * The same with a service config of the application's own.
     *
     * @throws IllegalArgumentException where it hedges: pathlane makes the attempts itself
     */
    public <T extends ManagedChannelBuilder<T>> T attach(T channel, Map<String, ?> serviceConfig) {
        if (serviceConfig.get("methodConfig") instanceof List<?> methods) {
            for (Object method : methods) {
                if (method instanceof Map<?, ?> one && one.containsKey("hedgingPolicy")) {
                    throw new IllegalArgumentException("the service config hedges " + one.get("name")
                            + ": pathlane makes the attempts itself, so take the hedgingPolicy out");
                }
            }
        }
        return attach(channel.defaultServiceConfig(serviceConfig));
    }

    /**
     * What the controller has done since its start, every try of a call counted for itself.
     *
     * @throws IllegalStateException where no channel has brought the settings yet
     */
    public Counters counters() {
        if (engine.controller() == null) {
            throw new IllegalStateException("the service config has brought no settings yet");
        }
        return engine.controller().counters();
    }

    /**
     * Calls, with the tries of one counted together.
     *
     * @param calls first tries
     * @param retries further tries of calls that had ended in vain, by their marks or by what they ask
     * @param heldBack tries that had to wait for the release of an earlier one's lost attempt
     */
    public record Tries(long calls, long retries, long heldBack) {}

    /** Calls and their tries since the start. */
    public Tries tries() {
        return engine.retries() == null ? new Tries(0, 0, 0) : new Tries(engine.retries().firstCalls(),
                engine.retries().retries(), engine.retries().delayed());
    }

    /** Gives open calls their final answer, UNAVAILABLE; streams that stand go on, channels stay open. */
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

    /** A plug-in's configuration. Not thread-safe. */
    public static final class Builder {

        private PluginConfig config;
        private final Map<String, String> classes = new HashMap<>();
        private String defaultClass;
        private int remembered = PluginConfig.REMEMBERED;
        private ScheduledExecutorService timers;
        private Long seed;
        private Function<SynchronizationContext, Scheduler> time;

        private Builder() {}

        /**
         * The settings as JSON: the object {@code settings} of a daemon's configuration, with an object
         * {@code plug-in} beside its keys where wanted.
         *
         * @throws IllegalArgumentException where it can't be used
         */
        public Builder configuration(String json) {
            config = PluginConfig.read(json);
            return this;
        }

        /** The same as a map, as gRPC holds JSON. */
        public Builder configuration(Map<String, ?> json) {
            return configuration(new Gson().toJson(json));
        }

        /** The settings. */
        public Builder settings(Settings settings) {
            config = new PluginConfig(settings, Optional.empty(), Map.of(), PluginConfig.REMEMBERED);
            return this;
        }

        /** The class of calls of which nothing else says it; the one worth the least where this is not called. */
        public Builder defaultClass(String name) {
            defaultClass = name;
            return this;
        }

        /** The class of a method's calls, by its full name ({@code package.Service/Method}), or of a service's. */
        public Builder callClass(String methodOrService, String name) {
            classes.put(methodOrService, name);
            return this;
        }

        /** Calls that ended in vain and are remembered at once, at most; 16,384 where this is not called. */
        public Builder remembered(int calls) {
            remembered = calls;
            return this;
        }

        /** Whose threads the timers run on; the plug-in's own daemon thread where this is not called. */
        public Builder timers(ScheduledExecutorService executor) {
            timers = executor;
            return this;
        }

        /** The only source of chance in the module's decisions; another one each time where this is not called. */
        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /** For tests: time that the test moves. */
        Builder time(Function<SynchronizationContext, Scheduler> source) {
            time = source;
            return this;
        }

        /**
         * Builds it.
         *
         * @throws IllegalArgumentException where a class is not in the settings, or stands here without settings
         */
        public Pathlane build() {
            boolean own = defaultClass != null || !classes.isEmpty() || remembered != PluginConfig.REMEMBERED;
            if (config == null && own) {
                throw new IllegalArgumentException("classes and limits go with settings: the service config brings both");
            }
            if (config != null && own) {
                Map<String, String> all = new HashMap<>(config.classes());
                all.putAll(classes);
                config = new PluginConfig(config.settings(),
                        defaultClass == null ? config.defaultClass() : Optional.of(defaultClass), all, remembered);
            }
            long chance = seed != null ? seed : ThreadLocalRandom.current().nextLong();
            if (time != null) {
                return new Pathlane(new Engine(config, chance, time), null);
            }
            ScheduledExecutorService ownTimers = timers == null ? newTimers() : null;
            ScheduledExecutorService used = timers == null ? ownTimers : timers;
            return new Pathlane(new Engine(config, chance, turn -> new LoopTime(used, turn)), ownTimers);
        }

        private static ScheduledExecutorService newTimers() {
            ScheduledThreadPoolExecutor made = new ScheduledThreadPoolExecutor(1, task -> {
                Thread thread = new Thread(task, "pathlane-timers");
                thread.setDaemon(true);
                return thread;
            });
            made.setRemoveOnCancelPolicy(true);
            made.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
            return made;
        }
    }
}
