package pathlane.lab.capacity.measure;

import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import pathlane.config.file.NodeConfig;
import pathlane.core.CloseReason;
import pathlane.core.ServerEndpoint;
import pathlane.decision.RoutingPolicy;
import pathlane.decision.ServerStatus;
import pathlane.decision.policy.AdaptiveRoutingPolicy;
import pathlane.lab.ControllerConfig;
import pathlane.platform.PlatformFront;
import pathlane.standin.VirtualTime;
import pathlane.transport.Connection;
import pathlane.transport.Protocol;

/**
 * Measures the cost of the complete platform front (bus feed, core, decision module, server links) by the number of listed
 * servers, in virtual time and without sockets: an event, a complete list, and memory. Logging is off.
 */
final class ListCost {

    private static final int[] EVENT_SIZES = {3, 30, 300, 3_000, 26_000};
    private static final int[] MEMORY_SIZES = {300, 3_000, 9_000, 26_000};
    /** The bus feed rejects an event of more than 256 KiB, which is 9,708 servers. */
    private static final int[] COMPLETE_LIST_SIZES = {3, 30, 300, 3_000, 9_000};
    private static final int FULL_SIZE = 26_000;
    private static final int FEW_SERVERS = 3;
    private static final int BUS_PORT = 9092;
    private static final int SERVER_PORT = 10_000;
    private static final int CLIENT_PORT = 5000;
    private static final int CONTROLLERS = 100;
    private static final Duration STARTUP_TIME = Duration.ofMillis(300);
    private static final Duration WARM_UP = Duration.ofMillis(200);
    private static final Duration MEASUREMENT_TIME = Duration.ofMillis(400);
    private static final int MIN_ROUNDS = 5;
    /** The serial collector reclaims all dead objects only at each fourth full collection. */
    private static final int COLLECTIONS = 4;
    private static final double NANOS_IN_MICRO = 1e3;
    private static final double NANOS_IN_MILLI = 1e6;

    private ListCost() {}

    static void measure(Recorder recorder, int repetitions) {
        Logger.getLogger("").setLevel(Level.OFF);
        for (int repetition = 1; repetition <= repetitions; repetition++) {
            for (int size : EVENT_SIZES) {
                events(recorder, size, repetition);
            }
            for (int size : COMPLETE_LIST_SIZES) {
                completeLists(recorder, size, repetition);
            }
            for (int size : MEMORY_SIZES) {
                memory(recorder, size, repetition);
            }
        }
        System.out.println("a whole list of " + FULL_SIZE + " servers: "
                + rejection(FULL_SIZE).map(end -> "refused, " + end).orElse("applied"));
    }

    /** Returns why the bus feed closes its connection on a complete list of this many servers; empty if it does not. */
    static Optional<CloseReason> rejection(int servers) {
        return new Front(FEW_SERVERS).rejection(servers);
    }

    private static void events(Recorder recorder, int size, int repetition) {
        Front front = new Front(size);
        recorder.record("event-apply-us", size, repetition,
                timed(front::changeOne, WARM_UP, MEASUREMENT_TIME) / NANOS_IN_MICRO);
    }

    private static void completeLists(Recorder recorder, int size, int repetition) {
        Front front = new Front(size);
        recorder.record("whole-list-apply-ms", size, repetition,
                timed(front::replace, WARM_UP, MEASUREMENT_TIME) / NANOS_IN_MILLI);
    }

    private static double timed(Runnable task, Duration warmUp, Duration measured) {
        rounds(task, warmUp);
        return rounds(task, measured);
    }

    private static double rounds(Runnable task, Duration minTime) {
        int rounds = 0;
        long start = System.nanoTime();
        long end = start;
        while (end - start < minTime.toNanos() || rounds < MIN_ROUNDS) {
            task.run();
            rounds++;
            end = System.nanoTime();
        }
        return (double) (end - start) / rounds;
    }

    private static void memory(Recorder recorder, int size, int repetition) {
        recorder.record("memory-list-bytes", size, repetition, retained(() -> endpoints(size)));
        recorder.record("memory-module-bytes", size, repetition, retained(() -> module(size)));
        String config = config(size);
        recorder.record("memory-front-bytes", size, repetition, retained(() -> new Front(config)));
    }

    private static List<ServerEndpoint> endpoints(int size) {
        List<ServerEndpoint> endpoints = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            endpoints.add(new ServerEndpoint(i, new InetSocketAddress("127.0.0.1", SERVER_PORT), ServerStatus.RUNNING, i, 1,
                    Instant.ofEpochMilli(i)));
        }
        return endpoints;
    }

    private static AdaptiveRoutingPolicy module(int size) {
        AdaptiveRoutingPolicy policy = new AdaptiveRoutingPolicy(DecisionCost.settings(), 7, new IgnoredActions());
        policy.serversListed(0, true, DecisionCost.listedServers(ServerStatus.RUNNING, size));
        return policy;
    }

    /** Returns the heap bytes that an object retains: the difference in used heap after full collections. */
    private static double retained(Supplier<Object> factory) {
        long before = usedHeap();
        Object retainedObject = factory.get();
        long after = usedHeap();
        java.lang.ref.Reference.reachabilityFence(retainedObject);
        return after - before;
    }

    private static long usedHeap() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static String config(int size) {
        return ControllerConfig.text("n1", CLIENT_PORT, size, place -> SERVER_PORT, BUS_PORT, CONTROLLERS, 7);
    }

    /** A platform front whose only connection is the one to the bus. */
    private static final class Front implements Connection {

        private final PlatformFront front;
        private final int size;
        private Protocol bus;
        private long number = 1;
        private Optional<CloseReason> closed = Optional.empty();

        Front(int size) {
            this(config(size), size);
        }

        Front(String config) {
            this(config, 0);
        }

        private Front(String config, int size) {
            this.size = size;
            VirtualTime time = new VirtualTime();
            front = new PlatformFront(NodeConfig.parse(config), (address, timeout, protocol) -> {
                if (address.getPort() == BUS_PORT) {
                    bus = protocol;
                }
            }, time, () -> true, Optional::empty);
            bus.opened(this);
            time.advance(STARTUP_TIME);
        }

        void changeOne() {
            number++;
            bus.received(ByteBuffer.wrap(BusFrames.change(number, (int) (number / 2 % size),
                    number % 2 == 0 ? BusFrames.DRAINING : BusFrames.READY, SERVER_PORT)));
        }

        void replace() {
            bus.received(ByteBuffer.wrap(BusFrames.completeList(++number, size, SERVER_PORT)));
        }

        /** Returns why the feed closed its connection on a complete list of this many servers; empty if it did not. */
        Optional<CloseReason> rejection(int servers) {
            bus.received(ByteBuffer.wrap(BusFrames.completeList(++number, servers, SERVER_PORT)));
            return closed;
        }

        @Override
        public void write(byte[] bytes) {}

        @Override
        public void close(CloseReason why) {
            closed = Optional.of(why);
        }

        @Override
        public String remote() {
            return "bus";
        }
    }

    private static final class IgnoredActions implements RoutingPolicy.Actions {
        @Override
        public void send(String call, long server, double giveUpAfterMs) {}

        @Override
        public void reject(String call, double adviseMs) {}

        @Override
        public void fail(String call) {}

        @Override
        public void cancel(String call, int attempt) {}

        @Override
        public void scheduleTimer(double delayMs) {}

        @Override
        public void requestServerList() {}
    }
}
