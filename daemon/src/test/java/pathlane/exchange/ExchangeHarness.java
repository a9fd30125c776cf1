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
 * Plays one exchange file against a front, in virtual time and without a socket. Before each input and each wait, all that
 * the program has written must have been named. The lines of a file:
 * <ul>
 * <li>{@code open NAME}: a caller's connection opens
 * <li>{@code accept|refuse|silent PORT}: what becomes of a dial, whose connection is then named by the port, or by
 * {@code accept PORT NAME}
 * <li>{@code NAME > bytes}: the other side writes
 * <li>{@code NAME < bytes}: the program has written just that next
 * <li>{@code NAME ends END}: the other side ends the connection
 * <li>{@code NAME closed END}: the program has closed it
 * <li>{@code udp-PORT < bytes}: the program has sent just that datagram next
 * <li>{@code NAME reads nothing}: what was not named yet has not left and can be withdrawn
 * <li>{@code NAME reads again}: it leaves now
 * <li>{@code NAME holds nothing}: all that had not left was withdrawn
 * <li>{@code NAME answers watchdogs}: as a Diameter peer that is well
 * <li>{@code no dial PORT}: the program has not dialled it
 * <li>{@code wait MS}: time goes on
 * <li>{@code bus PORT}: the configuration is read again and names this port
 * <li>{@code file PORT}: the configuration's file names this port from now on, or can't be used any more where it is
 * {@code spoilt}, and no signal says so
 * <li>{@code looked N}: the file was read so often
 * <li>{@code adopt CALL SERVER CLIENT bytes}: the program goes on with a call that another controller set up; the bytes are
 * what the record holds beside the ids
 * <li>{@code owed}: it owes its server the end of one, as above
 * <li>{@code lag MS}: what comes next has waited so long for a stall of the program
 * </ul>
 */
final class ExchangeHarness implements Scheduler, Connector, Datagrams {

    private record Due(Instant at, long order, Runnable task) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at.equals(other.at) ? Long.compare(order, other.order) : at.compareTo(other.at);
        }
    }

    private final class Line implements Connection {
        final Protocol protocol;
        final Deque<byte[]> written = new ArrayDeque<>();
        CloseReason closed;

        boolean answersWatchdogs;
        boolean stuck;
        Instant lastWritten;

        Line(Protocol protocol) {
            this.protocol = protocol;
        }

        @Override
        public void write(byte[] bytes) {
            assertTrue(closed == null, "written after its close");
            HexFormat hex = HexFormat.of();
            if (answersWatchdogs && hex.formatHex(bytes, 4, 8).equals("80000118")) {
                byte[] answer = Notation.read("[00 280 0 " + hex.formatHex(bytes, 12, 16) + " "
                        + hex.formatHex(bytes, 16, 20) + " <268 u32:2001>]", kept).bytes();
                after(Duration.ZERO, () -> protocol.received(ByteBuffer.wrap(answer)));
                return;
            }
            written.add(bytes);
            lastWritten = now;
        }

        @Override
        public void close(CloseReason why) {
            if (closed == null) {
                closed = why;
            }
        }

        @Override
        public Withdrawal cancelWrite(byte[] bytes) {
            return stuck && written.removeIf(one -> one == bytes) ? Withdrawal.WITHDRAWN : Withdrawal.LEFT;
        }

        @Override
        public boolean isBlocked() {
            return stuck;
        }

        @Override
        public String remote() {
            return "stage";
        }
    }

    private final PriorityQueue<Due> timers = new PriorityQueue<>();
    private final Map<Integer, Deque<Protocol>> dials = new HashMap<>();
    private final Map<String, Line> lines = new HashMap<>();
    private final Map<Character, byte[]> kept = new HashMap<>();
    private final Supplier<Protocol> callers;
    private final ConnectionLimiter admission;
    private final Consumer<String> busMoves;
    private final CallController controller;
    private Instant now = Instant.parse("2026-01-01T00:00:00Z");
    private long order;
    private Duration lag = Duration.ZERO;
    /** What the configuration's file has changed to, if it has. */
    private String file;
    private int looks;
    private String at = "the start";

    ExchangeHarness(boolean diameter, String config) {
        if (diameter) {
            DiameterConfig parsed = DiameterConfig.parse(config);
            DiameterFront front = new DiameterFront(parsed, 7, this, this,
                    new SplittableRandom(7));
            callers = front::accept;
            controller = front.controller();
            admission = new ConnectionLimiter(parsed.callers().connections());
            busMoves = port -> fail("there is no bus");
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
                Optional<String> changed = Optional.ofNullable(file);
                file = null;
                looks++;
                return changed.map(port -> NodeConfig.parse(at(config, port)));
            });
            callers = front::accept;
            controller = front.controller();
            admission = new ConnectionLimiter(parsed.callers().connections());
            busMoves = port -> front.reload(NodeConfig.parse(at(config, port)));
        }
    }

    /** The configuration with the bus at this port. */
    private static String at(String config, String port) {
        return config.replaceAll("(\"bus\": \".*?:)\\d+", "$1" + port);
    }

    void play(Iterable<String> script) {
        int number = 0;
        for (String raw : script) {
            number++;
            at = "line " + number + ": " + raw;
            String line = raw.strip();
            if (!line.isEmpty() && !line.startsWith("#")) {
                step(line.split(" +", 3));
            }
        }
        at = "the end";
        nothingUnnamed();
    }

    /** What the core keeps, connections that callers hold, and timers that are set. */
    int kept() {
        return controller.retainedEntries() + admission.size() + timers.size();
    }

    private void step(String[] words) {
        if (words[0].equals("wait")) {
            nothingUnnamed();
            until(now.plusMillis(Long.parseLong(words[1])));
        } else if (words[0].equals("lag")) {
            lag = Duration.ofMillis(Long.parseLong(words[1]));
        } else if (words[0].equals("bus")) {
            nothingUnnamed();
            busMoves.accept(words[1]);
        } else if (words[0].equals("file")) {
            file = words[1];
        } else if (words[0].equals("adopt") || words[0].equals("owed")) {
            nothingUnnamed();
            String[] of = words[2].split(" +", 3);
            byte[] ending = Notation.read(of[2], kept).bytes();
            if (words[0].equals("adopt")) {
                assertTrue(controller.adopt(words[1], Long.parseLong(of[0]), new Elsewhere(of[1]), ending), at);
            } else {
                controller.deliverServerRelease(words[1], Long.parseLong(of[0]), ending);
            }
        } else if (words[0].equals("looked")) {
            assertEquals(Integer.parseInt(words[1]), looks, at);
        } else if (words[0].equals("open")) {
            nothingUnnamed();
            Protocol protocol = callers.get();
            Line line = new Line(protocol);
            lines.put(words[1], line);
            if (admission.tryAdmit(protocol, line::close)) {
                protocol.opened(line);
            } else {
                line.closed = CloseReason.LIMIT_REACHED;
            }
        } else if (words[0].equals("no")) {
            assertTrue(dials.getOrDefault(Integer.parseInt(words[2]), new ArrayDeque<>()).isEmpty(),
                    () -> "a dial at " + at);
        } else if (words[0].equals("accept") || words[0].equals("refuse") || words[0].equals("silent")) {
            nothingUnnamed();
            Protocol dialled = dials.getOrDefault(Integer.parseInt(words[1]), new ArrayDeque<>()).poll();
            assertTrue(dialled != null, () -> "no dial at " + at);
            if (words[0].equals("accept")) {
                connect(words[words.length - 1], dialled);
            } else {
                dialled.closed(words[0].equals("refuse") ? CloseReason.REFUSED : CloseReason.CONNECT_TIMED_OUT);
            }
        } else {
            exchange(lines.get(words[0]), words[1], words[2]);
        }
    }

    /** A caller whose call another controller set up. */
    private record Elsewhere(String clientKey) implements ClientPort {

        @Override
        public void answer(String call, byte[] description) {
            org.junit.jupiter.api.Assertions.fail("answered again");
        }

        @Override
        public void reject(String call, Duration comeBackAfter) {
            org.junit.jupiter.api.Assertions.fail("refused");
        }

        @Override
        public void fail(String call) {
            org.junit.jupiter.api.Assertions.fail("failed");
        }

        @Override
        public void release(String call, Outcome how) {
            org.junit.jupiter.api.Assertions.fail("it has no connection");
        }
    }

    private void exchange(Line line, String what, String rest) {
        assertTrue(line != null, () -> "no such connection at " + at);
        switch (what) {
            case ">" -> {
                nothingUnnamed();
                line.protocol.received(ByteBuffer.wrap(Notation.read(rest, kept).bytes()));
            }
            case "<" -> {
                Notation.Bytes expected = Notation.read(rest, kept);
                byte[] written = line.written.poll();
                assertTrue(written != null, () -> "nothing written at " + at);
                if (!expected.matches(written)) {
                    assertEquals(show(expected.bytes()), show(written), at);
                    fail(at);
                }
                expected.keep(written, kept);
            }
            case "reads" -> line.stuck = rest.equals("nothing");
            case "holds" -> assertTrue(line.written.isEmpty(), at);
            case "answers" -> line.answersWatchdogs = true;
            case "ends" -> {
                nothingUnnamed();
                line.protocol.closed(CloseReason.valueOf(rest));
            }
            case "closed" -> {
                assertEquals(CloseReason.valueOf(rest), line.closed, at);
                admission.closed(line.protocol);
                line.protocol.closed(line.closed);
            }
            default -> fail("can't read " + at);
        }
    }

    private void connect(String name, Protocol protocol) {
        Line line = new Line(protocol);
        lines.put(name, line);
        protocol.opened(line);
    }

    private void nothingUnnamed() {
        lines.forEach((name, line) -> assertTrue(line.stuck || line.written.isEmpty(),
                () -> "before " + at + ", " + name + " was written " + show(line.written.peek()) + " at "
                        + line.lastWritten));
    }

    private static String show(byte[] bytes) {
        String text = new String(bytes, java.nio.charset.StandardCharsets.ISO_8859_1).replaceAll("[^ -~]", ".");
        return HexFormat.of().formatHex(bytes) + " " + text;
    }

    private void until(Instant time) {
        while (!timers.isEmpty() && !timers.peek().at().isAfter(time)) {
            Due due = timers.poll();
            now = due.at().isAfter(now) ? due.at() : now;
            due.task().run();
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
        assertFalse(delay.isNegative() && delay.toMillis() < 0, "a timer in the past");
        Due due = new Due(now.plus(delay), order++, task);
        timers.add(due);
        return () -> timers.remove(due);
    }

    @Override
    public void send(InetSocketAddress to, byte[] datagram) {
        lines.computeIfAbsent("udp-" + to.getPort(), name -> new Line(null)).write(datagram);
    }

    @Override
    public void connect(InetSocketAddress address, Duration timeout, Protocol protocol) {
        dials.computeIfAbsent(address.getPort(), port -> new ArrayDeque<>()).add(protocol);
    }
}
