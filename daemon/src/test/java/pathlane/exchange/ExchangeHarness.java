package pathlane.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import pathlane.config.file.DiameterConfig;
import pathlane.config.file.NodeConfig;
import pathlane.core.CallController;
import pathlane.core.ClientPort;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.decision.Outcome;
import pathlane.diameter.DiameterFront;
import pathlane.metrics.CollectdReporter;
import pathlane.metrics.GraphiteReporter;
import pathlane.platform.PlatformFront;
import pathlane.transport.Connection;
import pathlane.transport.ConnectionLimiter;
import pathlane.transport.Connector;
import pathlane.transport.Datagrams;
import pathlane.transport.Protocol;

/**
 * Plays one exchange file against a front, in virtual time and without sockets. Before each input and each wait, the script
 * must have consumed everything that the program wrote. The lines of a file:
 * <ul>
 * <li>{@code open NAME}: a client connection opens
 * <li>{@code accept|refuse|silent PORT}: result of a connection attempt to the port: accepted, refused or timed out; an
 * accepted connection is named after its port, or by {@code accept PORT NAME}
 * <li>{@code NAME > bytes}: the remote side writes these bytes
 * <li>{@code NAME < bytes}: the next write of the program has exactly these bytes
 * <li>{@code NAME ends REASON}: the remote side closes the connection
 * <li>{@code NAME closed REASON}: the program has closed the connection for this reason
 * <li>{@code udp-PORT < bytes}: the next datagram that the program sent to the port has exactly these bytes
 * <li>{@code NAME reads nothing}: the remote side stops reading; writes not consumed yet stay queued and can be cancelled
 * <li>{@code NAME reads again}: the remote side reads again and the queued writes leave
 * <li>{@code NAME holds nothing}: all queued writes were cancelled
 * <li>{@code NAME answers watchdogs}: the remote side answers Diameter watchdog requests from now on
 * <li>{@code no dial PORT}: no connection attempt to the port is pending
 * <li>{@code wait MS}: advances virtual time
 * <li>{@code bus PORT}: the configuration is reloaded and names this event bus port
 * <li>{@code file PORT}: the configuration file names this event bus port from now on, or is invalid where the port is
 * {@code spoilt}; no signal announces the change
 * <li>{@code looked N}: the configuration file was polled N times so far
 * <li>{@code adopt CALL SERVER CLIENT bytes}: the program adopts a call that another controller established; the bytes are
 * the content of the replicated record besides the ids
 * <li>{@code owed CALL SERVER CLIENT bytes}: the program has to release a call at its server; arguments as above
 * <li>{@code lag MS}: the following input was delayed this long by a stall of the program
 * </ul>
 */
final class ExchangeHarness implements Scheduler, Connector, Datagrams {

    private record ScheduledTask(Instant at, long order, Runnable task) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            return at.equals(other.at) ? Long.compare(order, other.order) : at.compareTo(other.at);
        }
    }

    private final class FakeConnection implements Connection {
        final Protocol protocol;
        final Deque<byte[]> written = new ArrayDeque<>();
        CloseReason closed;

        boolean answersWatchdogs;
        boolean blocked;
        Instant lastWritten;

        FakeConnection(Protocol protocol) {
            this.protocol = protocol;
        }

        @Override
        public void write(byte[] bytes) {
            assertTrue(closed == null, "write after close");
            HexFormat hex = HexFormat.of();
            if (answersWatchdogs && hex.formatHex(bytes, 4, 8).equals("80000118")) {
                byte[] answer = Notation.read("[00 280 0 " + hex.formatHex(bytes, 12, 16) + " "
                        + hex.formatHex(bytes, 16, 20) + " <268 u32:2001>]", captured).bytes();
                after(Duration.ZERO, () -> protocol.received(ByteBuffer.wrap(answer)));
                return;
            }
            written.add(bytes);
            lastWritten = now;
        }

        @Override
        public void close(CloseReason reason) {
            if (closed == null) {
                closed = reason;
            }
        }

        @Override
        public CancelResult cancelWrite(byte[] bytes) {
            return blocked && written.removeIf(one -> one == bytes) ? CancelResult.CANCELLED : CancelResult.SENT;
        }

        @Override
        public boolean isBlocked() {
            return blocked;
        }

        @Override
        public List<byte[]> unsentMessages() {
            return blocked ? List.copyOf(written) : List.of();
        }

        @Override
        public String remote() {
            return "harness";
        }
    }

    private final PriorityQueue<ScheduledTask> timers = new PriorityQueue<>();
    private final Map<Integer, Deque<Protocol>> connectAttempts = new HashMap<>();
    private final Map<String, FakeConnection> connections = new HashMap<>();
    private final Map<Character, byte[]> captured = new HashMap<>();
    private final Supplier<Protocol> clientAcceptor;
    private final ConnectionLimiter connectionLimiter;
    private final Consumer<String> busPortChange;
    private final CallController controller;
    private Instant now = Instant.parse("2026-01-01T00:00:00Z");
    private long order;
    private Duration lag = Duration.ZERO;
    /** The pending change of the configuration file: its new event bus port; null if there is none. */
    private String changedBusPort;
    private int filePolls;
    private String position = "the start";

    ExchangeHarness(boolean diameter, String config) {
        if (diameter) {
            DiameterConfig parsed = DiameterConfig.parse(config);
            DiameterFront front = new DiameterFront(parsed, 7, this, this,
                    new SplittableRandom(7));
            clientAcceptor = front::accept;
            controller = front.controller();
            connectionLimiter = new ConnectionLimiter(parsed.clientLimits().maxConnections());
            busPortChange = port -> fail("the Diameter front has no event bus");
            if (parsed.graphite() != null) {
                new GraphiteReporter(parsed.graphite(), front.controller().counters(), this, this).start();
            }
            if (parsed.collectd() != null) {
                new CollectdReporter(parsed.collectd(), parsed.host(), front.controller().counters(), this, this)
                        .start();
            }
        } else {
            NodeConfig parsed = NodeConfig.parse(config);
            PlatformFront front = new PlatformFront(parsed, this, this, () -> true, () -> {
                Optional<String> changed = Optional.ofNullable(changedBusPort);
                changedBusPort = null;
                filePolls++;
                return changed.map(port -> NodeConfig.parse(withBusPort(config, port)));
            });
            clientAcceptor = front::accept;
            controller = front.controller();
            connectionLimiter = new ConnectionLimiter(parsed.clientLimits().maxConnections());
            busPortChange = port -> front.reload(NodeConfig.parse(withBusPort(config, port)));
        }
    }

    /** Returns the configuration with the event bus at this port. */
    private static String withBusPort(String config, String port) {
        return config.replaceAll("(\"bus\": \".*?:)\\d+", "$1" + port);
    }

    void play(Iterable<String> script) {
        int number = 0;
        for (String raw : script) {
            number++;
            position = "line " + number + ": " + raw;
            String line = raw.strip();
            if (!line.isEmpty() && !line.startsWith("#")) {
                step(line.split(" +", 3));
            }
        }
        position = "the end";
        assertAllWritesConsumed();
    }

    /** Number of entries retained by the core, open client connections and pending timers. */
    int retainedCount() {
        return controller.retainedEntries() + connectionLimiter.size() + timers.size();
    }

    private void step(String[] words) {
        if (words[0].equals("wait")) {
            assertAllWritesConsumed();
            advanceTo(now.plusMillis(Long.parseLong(words[1])));
        } else if (words[0].equals("lag")) {
            lag = Duration.ofMillis(Long.parseLong(words[1]));
        } else if (words[0].equals("bus")) {
            assertAllWritesConsumed();
            busPortChange.accept(words[1]);
        } else if (words[0].equals("file")) {
            changedBusPort = words[1];
        } else if (words[0].equals("adopt") || words[0].equals("owed")) {
            assertAllWritesConsumed();
            String[] arguments = words[2].split(" +", 3);
            byte[] release = Notation.read(arguments[2], captured).bytes();
            if (words[0].equals("adopt")) {
                assertTrue(controller.adopt(words[1], Long.parseLong(arguments[0]), new AdoptedClientPort(arguments[1]),
                        release), position);
            } else {
                controller.deliverServerRelease(words[1], Long.parseLong(arguments[0]), release);
            }
        } else if (words[0].equals("looked")) {
            assertEquals(Integer.parseInt(words[1]), filePolls, position);
        } else if (words[0].equals("open")) {
            assertAllWritesConsumed();
            Protocol protocol = clientAcceptor.get();
            FakeConnection connection = new FakeConnection(protocol);
            connections.put(words[1], connection);
            if (connectionLimiter.tryAdmit(protocol, connection::close)) {
                protocol.opened(connection);
            } else {
                connection.closed = CloseReason.LIMIT_REACHED;
            }
        } else if (words[0].equals("no")) {
            assertTrue(connectAttempts.getOrDefault(Integer.parseInt(words[2]), new ArrayDeque<>()).isEmpty(),
                    () -> "unexpected connection attempt at " + position);
        } else if (words[0].equals("accept") || words[0].equals("refuse") || words[0].equals("silent")) {
            assertAllWritesConsumed();
            Protocol attempt = connectAttempts.getOrDefault(Integer.parseInt(words[1]), new ArrayDeque<>()).poll();
            assertTrue(attempt != null, () -> "no connection attempt at " + position);
            if (words[0].equals("accept")) {
                connect(words[words.length - 1], attempt);
            } else {
                attempt.closed(words[0].equals("refuse") ? CloseReason.REFUSED : CloseReason.CONNECT_TIMED_OUT);
            }
        } else {
            exchange(connections.get(words[0]), words[1], words[2]);
        }
    }

    /** Client port of a call that another controller established; any message to the client fails the test. */
    private record AdoptedClientPort(String clientKey) implements ClientPort {

        @Override
        public void answer(String call, byte[] description) {
            org.junit.jupiter.api.Assertions.fail("unexpected answer to the client");
        }

        @Override
        public void reject(String call, Duration retryAfter) {
            org.junit.jupiter.api.Assertions.fail("unexpected rejection to the client");
        }

        @Override
        public void fail(String call) {
            org.junit.jupiter.api.Assertions.fail("unexpected failure to the client");
        }

        @Override
        public void release(String call, Outcome outcome) {
            org.junit.jupiter.api.Assertions.fail("unexpected release to the client");
        }
    }

    private void exchange(FakeConnection connection, String action, String argument) {
        assertTrue(connection != null, () -> "no such connection at " + position);
        switch (action) {
            case ">" -> {
                assertAllWritesConsumed();
                connection.protocol.received(ByteBuffer.wrap(Notation.read(argument, captured).bytes()));
            }
            case "<" -> {
                Notation.Bytes expected = Notation.read(argument, captured);
                byte[] written = connection.written.poll();
                assertTrue(written != null, () -> "nothing written at " + position);
                if (!expected.matches(written)) {
                    assertEquals(show(expected.bytes()), show(written), position);
                    fail(position);
                }
                expected.capture(written, captured);
            }
            case "reads" -> connection.blocked = argument.equals("nothing");
            case "holds" -> assertTrue(connection.written.isEmpty(), position);
            case "answers" -> connection.answersWatchdogs = true;
            case "ends" -> {
                assertAllWritesConsumed();
                connection.protocol.closed(CloseReason.valueOf(argument));
            }
            case "closed" -> {
                assertEquals(CloseReason.valueOf(argument), connection.closed, position);
                connectionLimiter.closed(connection.protocol);
                connection.protocol.closed(connection.closed);
            }
            default -> fail("invalid script step: " + position);
        }
    }

    private void connect(String name, Protocol protocol) {
        FakeConnection connection = new FakeConnection(protocol);
        connections.put(name, connection);
        protocol.opened(connection);
    }

    private void assertAllWritesConsumed() {
        connections.forEach((name, connection) -> assertTrue(connection.blocked || connection.written.isEmpty(),
                () -> "before " + position + ", " + name + " has unconsumed data " + show(connection.written.peek()) + " at "
                        + connection.lastWritten));
    }

    private static String show(byte[] bytes) {
        String text = new String(bytes, java.nio.charset.StandardCharsets.ISO_8859_1).replaceAll("[^ -~]", ".");
        return HexFormat.of().formatHex(bytes) + " " + text;
    }

    private void advanceTo(Instant time) {
        while (!timers.isEmpty() && !timers.peek().at().isAfter(time)) {
            ScheduledTask next = timers.poll();
            now = next.at().isAfter(now) ? next.at() : now;
            next.task().run();
        }
        now = time;
    }

    @Override
    public Instant now() {
        return now;
    }

    @Override
    public Duration lag() {
        return lag;
    }

    @Override
    public Timer after(Duration delay, Runnable task) {
        assertFalse(delay.isNegative() && delay.toMillis() < 0, "timer delay is negative");
        ScheduledTask next = new ScheduledTask(now.plus(delay), order++, task);
        timers.add(next);
        return () -> timers.remove(next);
    }

    @Override
    public void send(InetSocketAddress to, byte[] datagram) {
        connections.computeIfAbsent("udp-" + to.getPort(), name -> new FakeConnection(null)).write(datagram);
    }

    @Override
    public void connect(InetSocketAddress address, Duration timeout, Protocol protocol) {
        connectAttempts.computeIfAbsent(address.getPort(), port -> new ArrayDeque<>()).add(protocol);
    }
}
