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
 * 1,024 session servers and as many peers, on the descriptors of a scored day and on half of them: all listed at once,
 * drained at once, and replaced at once, with calls throughout.
 */
class ManyServersTest {

    private static final int MANY = 1024;
    private static final int FIRST_PORT = 10_000;
    private static final int BUS_PORT = 9092;
    private static final Duration PATIENCE = Duration.ofSeconds(3);
    private static final int RECORD = 27;
    private static final int HEAD = 13;
    private static final long OLDER = 1L << 40;
    private static final Duration OWED = Duration.ofSeconds(8);
    /** Descriptors of connections that are just closing: they come out of the program's own part. */
    private static final int CLOSING = 16;

    private final VirtualTime time = new VirtualTime();
    private final ServerField field = new ServerField(time);
    private final Map<Long, Instant> asked = new HashMap<>();
    private final Map<Long, Instant> stood = new HashMap<>();
    private final List<String> broken = new ArrayList<>();
    private int standing;
    private int refused;
    private int ended;
    private int older;
    private Protocol bus;
    private boolean busBeats = true;
    private Protocol caller;
    private long event = 1;
    private long calls;

    @Test
    void onTheDescriptorsOfAScoredDay() {
        play(1024, 619);
    }

    @Test
    void onHalfOfThem() {
        play(512, 278);
    }

    /** Without the bus, servers' capacity reports are all that is known of drains, and calls stand all the same. */
    @Test
    void withoutTheBus() {
        busBeats = false;
        play(512, 278);
    }

    /** Fewer than there are calls that stand at a time, at servers all different: the ends still come in time. */
    @Test
    void onFewerThanCallsThatStand() {
        play(96, 24);
    }

    private void play(int descriptors, int forServers) {
        IntStream.range(0, MANY).forEach(i -> {
            field.add(FIRST_PORT + i);
            field.endsOlder(FIRST_PORT + i, OLDER + i);
        });
        PlatformFront front = new PlatformFront(NodeConfig.parse(config(descriptors)), (address, timeout, protocol) -> {
            if (address.getPort() == BUS_PORT) {
                bus = protocol;
                time.after(Duration.ofMillis(1), () -> {
                    protocol.opened(new SilentConnection());
                    beat();
                });
            } else {
                field.connect(address, timeout, protocol);
            }
        }, time, () -> true, Optional::empty);
        caller = front.accept();
        caller.opened(new Hears());
        // Each server has the end of a call from before the start to tell: the caller is owed it within 8 s.
        time.pass(OWED);
        assertEquals(MANY, older, "ends of older calls that were told in time");
        // A caller releases a call from before the start, at whichever server: nothing is opened for it.
        time.pass(Duration.ofSeconds(30));
        int dials = field.dials();
        caller.received(ByteBuffer.wrap(new Message(Message.RELEASE, 0x0b5e1e7eL).withCause(16).bytes()));
        time.pass(1000);
        assertEquals(dials, field.dials());
        call(3000);
        // All drain, and as many new ones come, in one event each.
        IntStream.range(0, MANY).forEach(i -> field.drain(FIRST_PORT + i));
        tell(IntStream.range(0, MANY).toArray(), 1);
        call(300);
        IntStream.range(MANY, 2 * MANY).forEach(i -> field.add(FIRST_PORT + i));
        tell(IntStream.range(MANY, 2 * MANY).toArray(), 0);
        call(4000);
        tell(IntStream.range(0, MANY).toArray(), 2);
        call(3000);
        time.pass(Duration.ofSeconds(9));
        assertEquals(List.of(), field.broken());
        assertEquals(List.of(), broken);
        assertEquals(Map.of(), asked, "calls without a final answer");
        assertEquals(Map.of(), stood, "calls whose end was not told");
        assertEquals(calls, standing + refused);
        assertEquals(standing, ended);
        assertTrue(field.mostHeld() <= forServers + CLOSING, () -> field.mostHeld() + " descriptors held for servers");
        assertTrue(standing >= calls * 8 / 10, () -> standing + " of " + calls + " stood");
        int since = field.dials() - dials;
        assertTrue(since <= 5 * calls, () -> since + " dials for " + calls + " calls");
    }

    /** The bus says something each second, as long as it is heard. */
    private void beat() {
        if (busBeats) {
            bus.received(ByteBuffer.allocate(HEAD).putInt(HEAD - 4).putLong(event).put((byte) 0).flip());
        }
        time.after(Duration.ofSeconds(1), this::beat);
    }

    /** A call each 25 ms for so long, each with another first choice. */
    private void call(int millis) {
        for (int spent = 0; spent < millis; spent += 25) {
            calls++;
            asked.put(calls, time.now());
            caller.received(ByteBuffer.wrap(new Message(Message.SET_UP, calls).with(Message.CLASS, "status-check")
                    .with(Message.PATIENCE, Long.toString(PATIENCE.toMillis())).with(Message.NUMBER, "n" + calls)
                    .with(Message.FIGURES, "dest:" + calls * 37 % MANY + ";width:1;via:-1")
                    .with(Message.DESCRIPTION, new byte[] {1}).bytes()));
            time.pass(25);
        }
    }

    private void tell(int[] servers, int state) {
        ByteBuffer frame = ByteBuffer.allocate(HEAD + servers.length * RECORD);
        frame.putInt(frame.capacity() - 4).putLong(++event).put((byte) 2);
        for (int i : servers) {
            frame.putInt(i + 1).putInt(0x7f000001).putShort((short) (FIRST_PORT + i)).put((byte) state).putShort((short) 0)
                    .putShort((short) (i % MANY)).putInt(1000).putLong(0);
        }
        bus.received(frame.flip());
    }

    private static String config(int descriptors) {
        String hosts = IntStream.range(0, MANY).mapToObj(i -> String.format("{\"host\":\"s-%08x\",\"dial\":\"127.0.0.1:%d\","
                + "\"block\":%d,\"health\":\"SERVING\",\"born_ms\":0}", i + 1, FIRST_PORT + i, i))
                .collect(Collectors.joining(","));
        String peers = IntStream.range(0, MANY).mapToObj(i -> "\"10.3." + i / 256 + "." + i % 256 + ":7946\"")
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

    /** What the caller hears; it writes down what is late, twice or never asked for. */
    private final class Hears extends SilentConnection {
        private final FrameAssembler assembler = Message.assembler();

        @Override
        public void write(byte[] bytes) {
            assembler.feed(ByteBuffer.wrap(bytes), frame -> heard(Message.read(frame)));
        }

        private void heard(Message message) {
            if (message.call >= OLDER && message.type == Message.RELEASE) {
                older++;
                return;
            }
            Instant at = asked.remove(message.call);
            if (at != null) {
                if (time.now().isAfter(at.plus(PATIENCE))) {
                    broken.add("call " + message.call + " was answered late");
                }
                if (message.type == Message.ANSWER) {
                    standing++;
                    stood.put(message.call, time.now());
                } else {
                    refused++;
                }
            } else {
                Instant since = stood.remove(message.call);
                if (since == null || message.type != Message.RELEASE) {
                    broken.add("call " + message.call + " was answered again");
                } else if (time.now().isAfter(since.plusMillis(3000 + 8000))) {
                    broken.add("the end of call " + message.call + " was told late");
                } else {
                    ended++;
                }
            }
        }
    }
}
