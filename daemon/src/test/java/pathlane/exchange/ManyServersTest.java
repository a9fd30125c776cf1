package pathlane.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import pathlane.config.file.NodeConfig;
import pathlane.platform.PlatformFront;
import pathlane.standin.VirtualTime;
import pathlane.transport.Protocol;
import pathlane.wire.FrameAssembler;
import pathlane.wire.Message;

/**
 * 1,024 session servers and 1,024 peers with a limited number of descriptors: all servers are listed, drained and replaced
 * at once while calls run. Guards against exceeding the descriptor limit, against a connection attempt for every listed
 * server, and against late or missing answers and releases when connections have to be opened on demand.
 */
class ManyServersTest {

    private static final int SERVER_COUNT = 1024;
    private static final int FIRST_PORT = 10_000;
    private static final int BUS_PORT = 9092;
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(3);
    private static final int RECORD_BYTES = 27;
    private static final int HEADER_BYTES = 13;
    private static final long FIRST_OLDER_CALL = 1L << 40;
    private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(8);
    /** Descriptors of connections that are closing; they count against the program's own share. */
    private static final int CLOSING_CONNECTIONS = 16;

    private final VirtualTime time = new VirtualTime();
    private final SimulatedServers servers = new SimulatedServers(time);
    private final Map<Long, Instant> requested = new HashMap<>();
    private final Map<Long, Instant> established = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private int establishedCount;
    private int rejected;
    private int released;
    private int olderReleases;
    private Protocol bus;
    private boolean busEnabled = true;
    private Protocol client;
    private long event = 1;
    private long calls;

    @Test
    void with1024Descriptors() {
        play(1024, 619);
    }

    @Test
    void with512Descriptors() {
        play(512, 278);
    }

    /** Without the event bus, capacity reports are the only sign that a server drains; calls are still established. */
    @Test
    void withoutTheEventBus() {
        busEnabled = false;
        play(512, 278);
    }

    /** Fewer descriptors than established calls, each on another server: their releases still arrive in time. */
    @Test
    void withFewerDescriptorsThanEstablishedCalls() {
        play(96, 24);
    }

    private void play(int descriptors, int serverDescriptors) {
        IntStream.range(0, SERVER_COUNT).forEach(i -> {
            servers.add(FIRST_PORT + i);
            servers.addPendingRelease(FIRST_PORT + i, FIRST_OLDER_CALL + i);
        });
        PlatformFront front = new PlatformFront(NodeConfig.parse(config(descriptors)), (address, timeout, protocol) -> {
            if (address.getPort() == BUS_PORT) {
                bus = protocol;
                time.after(Duration.ofMillis(1), () -> {
                    protocol.opened(new SilentConnection());
                    sendHeartbeat();
                });
            } else {
                servers.connect(address, timeout, protocol);
            }
        }, time, () -> true, Optional::empty);
        client = front.accept();
        client.opened(new RecordingClient());
        // Each server has a pending release of a call from before the start; the client must receive it within 8 s.
        time.advance(RELEASE_TIMEOUT);
        assertEquals(SERVER_COUNT, olderReleases, "releases of older calls that arrived in time");
        // A client releases a call from before the start whose server is unknown: no connection is opened for it.
        time.advance(Duration.ofSeconds(30));
        int attemptsBefore = servers.connectAttempts();
        client.received(ByteBuffer.wrap(new Message(Message.RELEASE, 0x0b5e1e7eL).withCause(16).bytes()));
        time.advance(1000);
        assertEquals(attemptsBefore, servers.connectAttempts());
        call(3000);
        // All servers drain and as many new ones are added, in one event each.
        IntStream.range(0, SERVER_COUNT).forEach(i -> servers.drain(FIRST_PORT + i));
        publish(IntStream.range(0, SERVER_COUNT).toArray(), 1);
        call(300);
        IntStream.range(SERVER_COUNT, 2 * SERVER_COUNT).forEach(i -> servers.add(FIRST_PORT + i));
        publish(IntStream.range(SERVER_COUNT, 2 * SERVER_COUNT).toArray(), 0);
        call(4000);
        publish(IntStream.range(0, SERVER_COUNT).toArray(), 2);
        call(3000);
        time.advance(Duration.ofSeconds(9));
        assertEquals(List.of(), servers.violations());
        assertEquals(List.of(), violations);
        assertEquals(Map.of(), requested, "calls without a final answer");
        assertEquals(Map.of(), established, "established calls without a release");
        assertEquals(calls, establishedCount + rejected);
        assertEquals(establishedCount, released);
        assertTrue(servers.maxDescriptors() <= serverDescriptors + CLOSING_CONNECTIONS,
                () -> servers.maxDescriptors() + " descriptors held for servers");
        assertTrue(establishedCount >= calls * 8 / 10, () -> establishedCount + " of " + calls + " calls were established");
        int attempts = servers.connectAttempts() - attemptsBefore;
        assertTrue(attempts <= 5 * calls, () -> attempts + " connection attempts for " + calls + " calls");
    }

    /** Sends an event bus heartbeat each second while the bus is enabled. */
    private void sendHeartbeat() {
        if (busEnabled) {
            bus.received(ByteBuffer.allocate(HEADER_BYTES).putInt(HEADER_BYTES - 4).putLong(event).put((byte) 0).flip());
        }
        time.after(Duration.ofSeconds(1), this::sendHeartbeat);
    }

    /** Makes one call each 25 ms for this time, each with another preferred server. */
    private void call(int millis) {
        for (int spent = 0; spent < millis; spent += 25) {
            calls++;
            requested.put(calls, time.now());
            client.received(ByteBuffer.wrap(new Message(Message.CALL_REQUEST, calls).with(Message.CALL_CLASS, "status-check")
                    .with(Message.REMAINING_DEADLINE, Long.toString(ANSWER_TIMEOUT.toMillis()))
                    .with(Message.DESTINATION, "n" + calls)
                    .with(Message.ROUTING_PARAMETERS, "dest:" + calls * 37 % SERVER_COUNT + ";width:1;via:-1")
                    .with(Message.DESCRIPTION, new byte[] {1}).bytes()));
            time.advance(25);
        }
    }

    private void publish(int[] indexes, int state) {
        ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + indexes.length * RECORD_BYTES);
        frame.putInt(frame.capacity() - 4).putLong(++event).put((byte) 2);
        for (int i : indexes) {
            frame.putInt(i + 1).putInt(0x7f000001).putShort((short) (FIRST_PORT + i)).put((byte) state).putShort((short) 0)
                    .putShort((short) (i % SERVER_COUNT)).putInt(1000).putLong(0);
        }
        bus.received(frame.flip());
    }

    private static String config(int descriptors) {
        String hosts = IntStream.range(0, SERVER_COUNT)
                .mapToObj(i -> String.format("{\"host\":\"s-%08x\",\"dial\":\"127.0.0.1:%d\","
                        + "\"block\":%d,\"health\":\"SERVING\",\"born_ms\":0}", i + 1, FIRST_PORT + i, i))
                .collect(Collectors.joining(","));
        String peers = IntStream.range(0, SERVER_COUNT).mapToObj(i -> "\"10.3." + i / 256 + "." + i % 256 + ":7946\"")
                .collect(Collectors.joining(","));
        return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"seed\":\"2a\",\"bus\":\"127.0.0.1:" + BUS_PORT
                + "\",\"limits\":{\"sockets\":" + descriptors + ",\"memory_mb\":128},\"peers\":[" + peers
                + "],\"known\":{\"offset\":1,\"batch\":[{\"topology\":{\"whole\":true,\"hosts\":[" + hosts
                + "]}}]},\"settings\":{\"balancers\":1024,\"tick-ms\":5,"
                + "\"lanes\":[{\"name\":\"status-check\",\"aim-ms\":1500,"
                + "\"deadline-ms\":9000}],\"ceilings\":{\"cancelling\":true,\"max-attempts\":6,\"retry-after\":true,"
                + "\"max-retry-after-ms\":2000},\"rules\":{\"cold-from\":0.28,\"cold-ms\":13000,\"fall-multiple\":3,"
                + "\"fall-ms\":1500},\"specifics\":{\"clear-wait-ms\":200,\"t1-ms\":500}}}";
    }

    /** Client connection that records late, repeated and unrequested messages as violations. */
    private final class RecordingClient extends SilentConnection {
        private final FrameAssembler assembler = Message.assembler();

        @Override
        public void write(byte[] bytes) {
            assembler.feed(ByteBuffer.wrap(bytes), frame -> received(Message.read(frame)));
        }

        private void received(Message message) {
            if (message.callId >= FIRST_OLDER_CALL && message.type == Message.RELEASE) {
                olderReleases++;
                return;
            }
            Instant at = requested.remove(message.callId);
            if (at != null) {
                if (time.now().isAfter(at.plus(ANSWER_TIMEOUT))) {
                    violations.add("call " + message.callId + " was answered late");
                }
                if (message.type == Message.ANSWER) {
                    establishedCount++;
                    established.put(message.callId, time.now());
                } else {
                    rejected++;
                }
            } else {
                Instant since = established.remove(message.callId);
                if (since == null || message.type != Message.RELEASE) {
                    violations.add("call " + message.callId + " was answered again");
                } else if (time.now().isAfter(since.plusMillis(3000 + 8000))) {
                    violations.add("call " + message.callId + " was released late");
                } else {
                    released++;
                }
            }
        }
    }
}
