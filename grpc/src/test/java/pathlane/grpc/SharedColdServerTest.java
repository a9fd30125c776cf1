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
import pathlane.standin.PlatformSessionServer;
import pathlane.standin.Processor;
import pathlane.transport.Connection;
import pathlane.transport.Connector;
import pathlane.transport.Protocol;

/** A daemon and a plug-in, each with its own front and traffic, send calls to the same stand-in servers. */
class SharedColdServerTest {

    private static final Duration CALL_DURATION = Duration.ofSeconds(8);

    /** The daemon's client, which counts the final answers of each call. */
    private static final class RecordingClient implements ClientPort {
        final Map<String, Integer> finalAnswers = new HashMap<>();
        long issuedCalls;

        @Override
        public void answer(String call, byte[] description) {
            finalAnswers.merge(call, 1, Integer::sum);
        }

        @Override
        public void reject(String call, Duration retryAfter) {
            finalAnswers.merge(call, 1, Integer::sum);
        }

        @Override
        public void fail(String call) {
            finalAnswers.merge(call, 1, Integer::sum);
        }

        @Override
        public void release(String call, Outcome outcome) {}
    }

    /** One end of a connection in virtual time. */
    private static final class VirtualConnection implements Connection {
        private final PluginHarness harness;
        private Protocol localProtocol;
        private Protocol remoteProtocol;
        private VirtualConnection reverse;
        private boolean closed;

        VirtualConnection(PluginHarness harness) {
            this.harness = harness;
        }

        @Override
        public void write(byte[] bytes) {
            harness.time.after(Duration.ofMillis(1), () -> {
                if (!closed) {
                    remoteProtocol.received(ByteBuffer.wrap(bytes));
                }
            });
        }

        @Override
        public void close(CloseReason reason) {
            harness.time.after(Duration.ZERO, () -> {
                if (!closed) {
                    closed = true;
                    reverse.closed = true;
                    remoteProtocol.closed(CloseReason.CLOSED_BY_PEER);
                    localProtocol.closed(reason);
                }
            });
        }

        @Override
        public String remote() {
            return "stand-in";
        }
    }

    private static String settings(boolean statesRate, int number) {
        String twoSenders = PluginHarness.SETTINGS.replace("\"balancers\": 1", "\"balancers\": 2");
        return statesRate ? twoSenders.replaceFirst("\\{", "{\"cold-share\": {\"set-ups-per-second\": 30, \"senders\": 2, "
                + "\"number\": " + number + "}, ") : twoSenders;
    }

    /**
     * A cold server replaces one of two warm ones while load moves between the daemon and the plug-in, so that what each
     * has learned from its own traffic is wrong after each move.
     */
    @ParameterizedTest
    @CsvSource({"true, 60, 60", "false, 60, 60", "true, 20, 120", "false, 20, 120", "true, 120, 20"})
    void daemonAndPluginStayWithinColdServerCapacity(boolean statesRate, int daemonRate, int pluginRate) {
        try (PluginHarness harness = new PluginHarness(Pathlane.builder().configuration(settings(statesRate, 1)))) {
            for (String name : List.of("a", "b")) {
                harness.addServer(name, 60);
                harness.endpoints.put(name, endpoint(name, 0));
            }
            harness.setListedServers("a", "b");
            CallController daemon = daemon(harness, settings(statesRate, 0));
            daemon.updateServers(true, List.of(harness.endpoints.get("a"), harness.endpoints.get("b")));
            ManagedChannel channel = harness.channel();
            RecordingClient client = new RecordingClient();
            daemon.clientConnected(client);
            List<Response> responses = new ArrayList<>();
            runTraffic(harness, daemon, client, channel, responses, 6, pluginRate, daemonRate);
            harness.processors.get("b").drain(Duration.ofSeconds(2));
            harness.addServer("c").startCold();
            harness.endpoints.put("c", endpoint("c", harness.time.nowMs()));
            harness.setListedServers("a", "c");
            daemon.updateServers(true, List.of(harness.endpoints.get("a"), harness.endpoints.get("c")));
            runTraffic(harness, daemon, client, channel, responses, 14, daemonRate, pluginRate);
            harness.time.advance(15_000);

            Processor cold = harness.processors.get("c");
            assertTrue(!cold.hasCrashed() && cold.maxColdBudgetUse() < 1,
                    "used share of the budget: " + cold.maxColdBudgetUse());
            assertTrue(cold.answers() > 50, "answered by the cold server: " + cold.answers());
            assertTrue(responses.stream().allMatch(response -> response.closeCount == 1));
            assertTrue(client.finalAnswers.values().stream().allMatch(count -> count == 1));
            assertEquals(14 * daemonRate + 6 * pluginRate, client.finalAnswers.size());
            assertEquals(List.of(), harness.rules.violations());
        }
    }

    /**
     * A plug-in and forty daemons, each with too little traffic to learn the capacity of a cold server from it. Only by
     * taking turns do they keep their total rate within that capacity.
     */
    @Test
    void fortyDaemonsAndPluginTakeTurnsAtColdServer() {
        int daemons = 40;
        String shared = PluginHarness.SETTINGS.replace("\"balancers\": 1", "\"balancers\": " + (daemons + 1)).replaceFirst(
                "\\{",
                "{\"cold-share\": {\"set-ups-per-second\": 10, \"senders\": " + (daemons + 1) + ", \"number\": NUMBER}, ");
        try (PluginHarness harness = new PluginHarness(Pathlane.builder().configuration(shared.replace("NUMBER", "40")))) {
            harness.addServer("a", 400);
            harness.endpoints.put("a", endpoint("a", 0));
            harness.setListedServers("a");
            ManagedChannel channel = harness.channel();
            List<CallController> controllers = new ArrayList<>();
            RecordingClient client = new RecordingClient();
            for (int i = 0; i < daemons; i++) {
                CallController daemon = daemon(harness, shared.replace("NUMBER", Integer.toString(i)));
                daemon.updateServers(true, List.of(harness.endpoints.get("a")));
                daemon.clientConnected(client);
                controllers.add(daemon);
            }
            List<Response> responses = new ArrayList<>();
            for (int step = 0; step < 16 * 200; step++) {
                if (step == 600) {
                    harness.addServer("c", 10).startCold();
                    harness.endpoints.put("c", endpoint("c", harness.time.nowMs()));
                    harness.setListedServers("a", "c");
                    controllers.forEach(controller -> controller.updateServers(false, List.of(harness.endpoints.get("c"))));
                }
                String id = String.format("%016x", ++client.issuedCalls);
                controllers.get(step % daemons).submit(new CallRequest(id, 0, "d" + id, Duration.ofMillis(3000),
                        step >= 600 ? 2 : -1, new byte[] {1}), client);
                if (step % 40 == 0) {
                    responses.add(harness.check(channel, "p" + responses.size()));
                }
                harness.time.advance(5);
            }
            harness.time.advance(15_000);
            Processor cold = harness.processors.get("c");
            assertTrue(!cold.hasCrashed() && cold.maxColdBudgetUse() < 1,
                    "used share of the budget: " + cold.maxColdBudgetUse());
            assertTrue(cold.answers() > 20, "answered by the cold server: " + cold.answers());
            assertTrue(client.finalAnswers.values().stream().allMatch(count -> count == 1));
            assertEquals(client.issuedCalls, client.finalAnswers.size());
        }
    }

    private static void runTraffic(PluginHarness harness, CallController daemon, RecordingClient client,
            ManagedChannel channel,
            List<Response> responses, int seconds, int daemonRate, int pluginRate) {
        int steps = 1000 / 5;
        for (int step = 0; step < seconds * steps; step++) {
            int inSecond = step % steps;
            for (int i = inSecond * daemonRate / steps; i < (inSecond + 1) * daemonRate / steps; i++) {
                String id = String.format("%016x", ++client.issuedCalls);
                daemon.submit(new CallRequest(id, 0, "d" + id, Duration.ofMillis(3000), -1, new byte[] {1}), client);
            }
            for (int i = inSecond * pluginRate / steps; i < (inSecond + 1) * pluginRate / steps; i++) {
                responses.add(harness.check(channel, "p" + responses.size()));
            }
            harness.time.advance(5);
        }
    }

    private static ServerEndpoint endpoint(String name, double startedMs) {
        return new ServerEndpoint(name.charAt(0), new InetSocketAddress("127.0.0.1", 5000 + name.charAt(0)),
                ServerStatus.RUNNING,
                name.charAt(0) - 'a', 1, java.time.Instant.ofEpochMilli((long) startedMs));
    }

    private static CallController daemon(PluginHarness harness, String settings) {
        NodeConfig config = NodeConfig.parse("{\"name\": \"d\", \"listen\": \"127.0.0.1:0\", \"seed\": \"3\","
                + "\"limits\": {\"sockets\": 1024}, \"settings\": " + settings + "}");
        Connector connector = (address, timeout, protocol) -> harness.time.after(Duration.ofMillis(1), () -> {
            String name = String.valueOf((char) (address.getPort() - 5000));
            PlatformSessionServer server =
                    new PlatformSessionServer(name, harness.processors.get(name), harness.time, CALL_DURATION,
                            harness.rules);
            VirtualConnection up = new VirtualConnection(harness);
            VirtualConnection down = new VirtualConnection(harness);
            up.remoteProtocol = server;
            up.localProtocol = protocol;
            up.reverse = down;
            down.remoteProtocol = protocol;
            down.localProtocol = server;
            down.reverse = up;
            server.opened(down);
            protocol.opened(up);
        });
        return new PlatformFront(config, connector, harness.time, () -> true, Optional::empty).controller();
    }
}
