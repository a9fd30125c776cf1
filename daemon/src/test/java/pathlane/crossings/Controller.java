package pathlane.crossings;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import pathlane.config.file.NodeConfig;
import pathlane.core.Counters;
import pathlane.net.EventLoop;
import pathlane.net.Network;
import pathlane.platform.PlatformFront;
import pathlane.transport.Connector;

/** Runs the program's event loop, sockets and platform front in this process, so that a test can block the event loop. */
final class Controller implements AutoCloseable {

    private static final long TIMEOUT_S = 20;

    /** Steps of a test that run while the event loop is blocked. */
    interface Steps {
        void run() throws IOException;
    }

    private final EventLoop loop = new EventLoop();
    private final PlatformFront front;
    final InetSocketAddress address;

    Controller(String config) throws Exception {
        this(config, connector -> connector);
    }

    /** Creates a controller whose connector is wrapped, for example to delay connection attempts. */
    Controller(String config, UnaryOperator<Connector> wrapper) throws Exception {
        Network network = new Network(loop);
        NodeConfig parsed = NodeConfig.parse(config);
        PlatformFront[] created = new PlatformFront[1];
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            created[0] = new PlatformFront(parsed, wrapper.apply(network), loop, () -> true, Optional::empty);
            done.countDown();
        });
        await(done);
        front = created[0];
        address = network.listen(parsed.listen(), front::accept, parsed.clientLimits().maxConnections(),
                parsed.clientLimits().maxUnwrittenBytes());
    }

    /** Returns a configuration with servers at these ports and further members of {@code limits} and {@code ceilings}. */
    static String config(String limits, String ceilings, ServerSocket... servers) {
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < servers.length; i++) {
            hosts.append(i == 0 ? "" : ",").append("{\"host\": \"s-0000000").append(i + 1)
                    .append("\", \"dial\": \"127.0.0.1:").append(servers[i].getLocalPort())
                    .append("\", \"site\": \"east\", \"class\": \"std\", \"block\": ").append(i)
                    .append(", \"health\": \"SERVING\", \"share\": 1, \"born_ms\": 0}");
        }
        return """
                {"name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "limits": {%s},
                 "known": {"offset": 1, "batch": [{"offset": 1, "topology": {"seq": 1, "whole": true, "hosts": [%s]}}]},
                 "settings": {"balancers": 1, "tick-ms": 5,
                   "lanes": [{"name": "plain", "aim-ms": 1500, "deadline-ms": 9000, "importance": 1}],
                   "ceilings": {"cancelling": true, "max-attempts": 6, "dial-timeout-ms": 5000%s},
                   "rules": {"cold-from": 0.28, "cold-ms": 13000, "fall-multiple": 3, "fall-ms": 1500},
                   "specifics": {"clear-wait-ms": 200}}}""".formatted(limits, hosts, ceilings);
    }

    /** Blocks the event loop while the steps run: it then finds all their input at once, in order of arrival. */
    void whileBlocked(Steps steps) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch resume = new CountDownLatch(1);
        loop.execute(() -> {
            blocked.countDown();
            await(resume);
        });
        await(blocked);
        try {
            steps.run();
        } finally {
            resume.countDown();
        }
    }

    /** Returns once the event loop has handled all input that had been sent before. */
    void handlePendingInput() throws Exception {
        // The first task may run in a turn whose input was selected before; the second runs after a complete turn.
        whileBlocked(() -> {});
        whileBlocked(() -> {});
    }

    /** Waits until the counter reaches the value. */
    void awaitCount(Counters.Name name, long count) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (front.controller().counters().value(name) < count) {
            assertTrue(System.nanoTime() < deadline, name + " did not reach " + count);
            Thread.sleep(Duration.ofMillis(1).toMillis());
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            assertTrue(latch.await(TIMEOUT_S, TimeUnit.SECONDS), "timed out waiting for the event loop");
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        loop.close();
    }
}
