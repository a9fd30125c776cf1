package pathlane.exchange;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pathlane.core.CloseReason;
import pathlane.standin.AttemptRuleChecker;
import pathlane.standin.VirtualTime;
import pathlane.transport.Connection;
import pathlane.transport.Connector;
import pathlane.transport.Protocol;
import pathlane.wire.FrameAssembler;
import pathlane.wire.Message;

/**
 * Simulates session servers in virtual time. Each answers a call request after 30 ms and releases the call 3 s later, on the
 * connection of the request, else on any open connection, else on the next one. A running server sends a capacity report
 * each second; a draining one accepts no connection and sends no report. Violations of the protocol's rules are recorded.
 */
final class SimulatedServers implements Connector {

    private static final Duration ROUND_TRIP = Duration.ofMillis(10);
    private static final Duration ANSWER_DELAY = Duration.ofMillis(30);
    private static final Duration CALL_DURATION = Duration.ofSeconds(3);
    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);
    private static final Duration DRAIN_GRACE = Duration.ofSeconds(1);
    private static final int NORMAL_CLEARING = 16;

    private final class Server {
        private final int port;
        private final Set<ServerConnection> connections = new LinkedHashSet<>();
        private final List<Message> waiting = new ArrayList<>();
        private Instant drainAnnouncedAt = Instant.MAX;

        private Server(int port) {
            this.port = port;
        }

        private boolean isDraining() {
            return drainAnnouncedAt != Instant.MAX;
        }

        private void reportCapacity() {
            if (!isDraining()) {
                connections.forEach(this::reportCapacity);
                time.after(REPORT_INTERVAL, this::reportCapacity);
            }
        }

        private void reportCapacity(ServerConnection connection) {
            connection.send(new Message(Message.CAPACITY_REPORT, 0).with(Message.CAPACITY, "free:1000;size:1000"));
        }

        private void send(ServerConnection preferred, Message message) {
            ServerConnection target =
                    connections.contains(preferred) ? preferred : connections.stream().findFirst().orElse(null);
            if (target == null) {
                waiting.add(message);
            } else {
                target.send(message);
            }
        }

        private void received(ServerConnection connection, Message message) {
            if (message.type != Message.CALL_REQUEST) {
                return;
            }
            Instant now = time.now();
            if (isDraining() && now.isAfter(drainAnnouncedAt.plus(DRAIN_GRACE))) {
                violations.add(
                        "call request " + message.id() + " came to " + port + " " + Duration.between(drainAnnouncedAt, now)
                                + " after its drain was announced");
            }
            callRequests++;
            rules.sent(message.id(), Integer.toString(port), time.nowMs());
            time.after(ANSWER_DELAY, () -> {
                rules.ended(message.id(), false, time.nowMs());
                send(connection, new Message(Message.ANSWER, message.callId)
                        .with(Message.DESCRIPTION, message.value(Message.DESCRIPTION)));
            });
            time.after(ANSWER_DELAY.plus(CALL_DURATION),
                    () -> send(connection, new Message(Message.RELEASE, message.callId).withCause(NORMAL_CLEARING)));
        }
    }

    private final class ServerConnection implements Connection {
        private final Server server;
        private final Protocol protocol;
        private final FrameAssembler assembler = Message.assembler();
        private boolean open = true;

        private ServerConnection(Server server, Protocol protocol) {
            this.server = server;
            this.protocol = protocol;
        }

        private void send(Message message) {
            if (open) {
                protocol.received(ByteBuffer.wrap(message.bytes()));
            }
        }

        @Override
        public void write(byte[] bytes) {
            if (open) {
                assembler.feed(ByteBuffer.wrap(bytes), frame -> server.received(this, Message.read(frame)));
            }
        }

        @Override
        public void close(CloseReason reason) {
            if (open) {
                open = false;
                server.connections.remove(this);
                time.after(Duration.ZERO, () -> {
                    descriptors--;
                    protocol.closed(reason);
                });
            }
        }

        @Override
        public String remote() {
            return Integer.toString(server.port);
        }
    }

    private final VirtualTime time;
    private final Map<Integer, Server> servers = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final AttemptRuleChecker rules = new AttemptRuleChecker(200);
    private int descriptors;
    private int maxDescriptors;
    private int connectAttempts;
    private int callRequests;

    SimulatedServers(VirtualTime time) {
        this.time = time;
    }

    void add(int port) {
        Server server = new Server(port);
        servers.put(port, server);
        server.reportCapacity();
    }

    /** Queues the release of a call from before the controller's start; it is sent on the next connection. */
    void addPendingRelease(int port, long call) {
        servers.get(port).waiting.add(new Message(Message.RELEASE, call).withCause(NORMAL_CLEARING));
    }

    /** Starts draining a server; the controllers are notified at the same time. */
    void drain(int port) {
        servers.get(port).drainAnnouncedAt = time.now();
    }

    @Override
    public void connect(InetSocketAddress address, Duration timeout, Protocol protocol) {
        connectAttempts++;
        descriptors++;
        maxDescriptors = Math.max(maxDescriptors, descriptors);
        time.after(ROUND_TRIP, () -> {
            Server server = servers.get(address.getPort());
            if (server == null || server.isDraining()) {
                descriptors--;
                protocol.closed(CloseReason.REFUSED);
                return;
            }
            ServerConnection connection = new ServerConnection(server, protocol);
            server.connections.add(connection);
            protocol.opened(connection);
            server.reportCapacity(connection);
            List<Message> pending = List.copyOf(server.waiting);
            server.waiting.clear();
            pending.forEach(connection::send);
        });
    }

    /** Maximum number of descriptors used at once for session servers, pending connection attempts included. */
    int maxDescriptors() {
        return maxDescriptors;
    }

    int connectAttempts() {
        return connectAttempts;
    }

    int callRequests() {
        return callRequests;
    }

    List<String> violations() {
        List<String> all = new ArrayList<>(violations);
        all.addAll(rules.violations());
        return all;
    }
}
