package pathlane.grpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.grpc.ManagedChannel;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pathlane.config.file.NodeConfig;
import pathlane.core.CallController;
import pathlane.core.CallRequest;
import pathlane.core.ClientPort;
import pathlane.core.CloseReason;
import pathlane.core.ServerEndpoint;
import pathlane.decision.Outcome;
import pathlane.decision.ServerStatus;
import pathlane.grpc.PluginHarness.Response;
import pathlane.platform.PlatformFront;
import pathlane.standin.PlatformServer;
import pathlane.standin.Processor;
import pathlane.transport.Connection;
import pathlane.transport.Connector;
import pathlane.transport.Protocol;

/** A daemon and a plug-in, each with its own front and its own traffic, send to the same stand-in processors. */
class SharedColdTest {

    private static final Duration HOLDS = Duration.ofSeconds(8);

    /** The daemon's calls, each answered once. */
    private static final class Callers implements ClientPort {
        final Map<String, Integer> finals = new HashMap<>();
        long issued;

        @Override
        public void answer(String call, byte[] description) {
            finals.merge(call, 1, Integer::sum);
        }

        @Override
        public void reject(String call, Duration comeBackAfter) {
            finals.merge(call, 1, Integer::sum);
        }

        @Override
        public void fail(String call) {
            finals.merge(call, 1, Integer::sum);
        }

        @Override
        public void release(String call, Outcome how) {}
    }

    /** Both ends of a connection, in virtual time. */
    private static final class Wire implements Connection {
        private final PluginHarness harness;
        private Protocol own;
        private Protocol other;
        private Wire back;
        private boolean closed;

        Wire(PluginHarness harness) {
            this.harness = harness;
        }

        @Override
        public void write(byte[] bytes) {
            harness.time.after(Duration.ofMillis(1), () -> {
                if (!closed) {
                    other.received(ByteBuffer.wrap(bytes));
                }
            });
        }

        @Override
        public void close(CloseReason why) {
            harness.time.after(Duration.ZERO, () -> {
                if (!closed) {
                    closed = true;
                    back.closed = true;
                    other.closed(CloseReason.CLOSED_BY_PEER);
                    own.closed(why);
                }
            });
        }

        @Override
        public String remote() {
            return "stand-in";
        }
    }

    private static String settings(boolean stated, int number) {
        String two = PluginHarness.SETTINGS.replace("\"balancers\": 1", "\"balancers\": 2");
        return stated ? two.replaceFirst("\\{", "{\"cold-share\": {\"set-ups-per-second\": 30, \"senders\": 2, "
                + "\"number\": " + number + "}, ") : two;
    }

    /**
     * Two warm servers, then a cold one in the place of one of them, while the load moves from the daemon to the
     * plug-in and back: what each has learned of its own traffic is wrong each time.
     */
    @ParameterizedTest
    @CsvSource({"true, 60, 60", "false, 60, 60", "true, 20, 120", "false, 20, 120", "true, 120, 20"})
    void togetherTheyStayUnderWhatAColdProcessorTolerates(boolean stated, int daemonRate, int pluginRate) {
        try (PluginHarness harness = new PluginHarness(Pathlane.builder().configuration(settings(stated, 1)))) {
            for (String name : List.of("a", "b")) {
                harness.add(name, 60);
                harness.lines.put(name, line(name, 0));
            }
            harness.list("a", "b");
            CallController daemon = daemon(harness, settings(stated, 0));
            daemon.updateServers(true, List.of(harness.lines.get("a"), harness.lines.get("b")));
            ManagedChannel channel = harness.channel();
            Callers callers = new Callers();
            daemon.clientConnected(callers);
            List<Response> response = new ArrayList<>();
            play(harness, daemon, callers, channel, response, 6, pluginRate, daemonRate);
            harness.processors.get("b").drain(Duration.ofSeconds(2));
            harness.add("c").startCold();
            harness.lines.put("c", line("c", harness.time.nowMs()));
            harness.list("a", "c");
            daemon.updateServers(true, List.of(harness.lines.get("a"), harness.lines.get("c")));
            play(harness, daemon, callers, channel, response, 14, daemonRate, pluginRate);
            harness.time.pass(15_000);

            Processor cold = harness.processors.get("c");
            assertTrue(!cold.fell() && cold.mostOfBudget() < 1, "used of the budget: " + cold.mostOfBudget());
            assertTrue(cold.answers() > 50, "answered by the cold one: " + cold.answers());
            assertTrue(response.stream().allMatch(one -> one.closes == 1));
            assertTrue(callers.finals.values().stream().allMatch(count -> count == 1));
            assertEquals(14 * daemonRate + 6 * pluginRate, callers.finals.size());
            assertEquals(List.of(), harness.rules.broken());
        }
    }

    /**
     * A plug-in and forty daemons, each with so little traffic that none can tell from its own what a cold server bears:
     * only the turns that they take keep the sum down.
     */
    @Test
    void fortyDaemonsAndAPluginTakeTurnsAtAColdProcessor() {
        int daemons = 40;
        String shared = PluginHarness.SETTINGS.replace("\"balancers\": 1", "\"balancers\": " + (daemons + 1)).replaceFirst(
                "\\{",
                "{\"cold-share\": {\"set-ups-per-second\": 10, \"senders\": " + (daemons + 1) + ", \"number\": NUMBER}, ");
        try (PluginHarness harness = new PluginHarness(Pathlane.builder().configuration(shared.replace("NUMBER", "40")))) {
            harness.add("a", 400);
            harness.lines.put("a", line("a", 0));
            harness.list("a");
            ManagedChannel channel = harness.channel();
            List<CallController> controllers = new ArrayList<>();
            Callers callers = new Callers();
            for (int i = 0; i < daemons; i++) {
                CallController daemon = daemon(harness, shared.replace("NUMBER", Integer.toString(i)));
                daemon.updateServers(true, List.of(harness.lines.get("a")));
                daemon.clientConnected(callers);
                controllers.add(daemon);
            }
            List<Response> response = new ArrayList<>();
            for (int step = 0; step < 16 * 200; step++) {
                if (step == 600) {
                    harness.add("c", 10).startCold();
                    harness.lines.put("c", line("c", harness.time.nowMs()));
                    harness.list("a", "c");
                    controllers.forEach(one -> one.updateServers(false, List.of(harness.lines.get("c"))));
                }
                String id = String.format("%016x", ++callers.issued);
                controllers.get(step % daemons).submit(new CallRequest(id, 0, "d" + id, Duration.ofMillis(3000),
                        step >= 600 ? 2 : -1, new byte[] {1}), callers);
                if (step % 40 == 0) {
                    response.add(harness.check(channel, "p" + response.size()));
                }
                harness.time.pass(5);
            }
            harness.time.pass(15_000);
            Processor cold = harness.processors.get("c");
            assertTrue(!cold.fell() && cold.mostOfBudget() < 1, "used of the budget: " + cold.mostOfBudget());
            assertTrue(cold.answers() > 20, "answered by the cold one: " + cold.answers());
            assertTrue(callers.finals.values().stream().allMatch(count -> count == 1));
            assertEquals(callers.issued, callers.finals.size());
        }
    }

    private static void play(PluginHarness harness, CallController daemon, Callers callers, ManagedChannel channel,
            List<Response> response, int seconds, int daemonRate, int pluginRate) {
        int steps = 1000 / 5;
        for (int step = 0; step < seconds * steps; step++) {
            int inSecond = step % steps;
            for (int i = inSecond * daemonRate / steps; i < (inSecond + 1) * daemonRate / steps; i++) {
                String id = String.format("%016x", ++callers.issued);
                daemon.submit(new CallRequest(id, 0, "d" + id, Duration.ofMillis(3000), -1, new byte[] {1}), callers);
            }
            for (int i = inSecond * pluginRate / steps; i < (inSecond + 1) * pluginRate / steps; i++) {
                response.add(harness.check(channel, "p" + response.size()));
            }
            harness.time.pass(5);
        }
    }

    private static ServerEndpoint line(String name, double startedMs) {
        return new ServerEndpoint(name.charAt(0), new InetSocketAddress("127.0.0.1", 5000 + name.charAt(0)),
                ServerStatus.RUNNING,
                name.charAt(0) - 'a', 1, java.time.Instant.ofEpochMilli((long) startedMs));
    }

    private static CallController daemon(PluginHarness harness, String settings) {
        NodeConfig config = NodeConfig.parse("{\"name\": \"d\", \"listen\": \"127.0.0.1:0\", \"seed\": \"3\","
                + "\"limits\": {\"sockets\": 1024}, \"settings\": " + settings + "}");
        Connector dialer = (address, timeout, protocol) -> harness.time.after(Duration.ofMillis(1), () -> {
            String name = String.valueOf((char) (address.getPort() - 5000));
            PlatformServer server =
                    new PlatformServer(name, harness.processors.get(name), harness.time, HOLDS, harness.rules);
            Wire up = new Wire(harness);
            Wire down = new Wire(harness);
            up.other = server;
            up.own = protocol;
            up.back = down;
            down.other = protocol;
            down.own = server;
            down.back = up;
            server.opened(down);
            protocol.opened(up);
        });
        return new PlatformFront(config, dialer, harness.time, () -> true, Optional::empty).controller();
    }
}
