package pathlane.lab.scale;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.core.ServerEndpoint;
import pathlane.transport.Connection;
import pathlane.transport.Protocol;

/**
 * Today's way: the event bus tells each controller the whole list, and each change of any server. A list that is longer than
 * an event may be is told in several; the real bus has no such way, which {@link #isWholeListRefused} says. On the loop's
 * thread.
 */
final class WholeListBus {

    /** The longest event that a controller takes. */
    static final int LONGEST_EVENT = 256 * 1024;

    private static final Duration HEARTBEAT = Duration.ofSeconds(1);
    private static final int HEAD = 9;
    private static final int RECORD = 27;
    private static final int LENGTH = 4;
    private static final int MOST_RECORDS = (LONGEST_EVENT - HEAD) / RECORD;
    private static final byte NOTHING_NEW = 0;
    private static final byte WHOLE = 1;
    private static final byte CHANGES = 2;
    private static final double WEIGHT_UNIT = 1000;

    private final List<byte[]> events = new ArrayList<>();
    private final Set<Subscriber> subscribers = new LinkedHashSet<>();

    WholeListBus(Scheduler scheduler, List<ServerEndpoint> list) {
        for (int from = 0; from < list.size(); from += MOST_RECORDS) {
            add(from == 0 ? WHOLE : CHANGES, list.subList(from, Math.min(list.size(), from + MOST_RECORDS)));
        }
        beat(scheduler);
    }

    /** The length of one event with a list of so many servers. */
    static long wholeListBytes(int servers) {
        return HEAD + (long) RECORD * servers;
    }

    /** Whether a controller refuses one event with a list of so many servers. */
    static boolean isWholeListRefused(int servers) {
        return wholeListBytes(servers) > LONGEST_EVENT;
    }

    /** How many events were told so far. */
    int events() {
        return events.size();
    }

    /** Tells everybody of a change. */
    void change(ServerEndpoint line) {
        add(CHANGES, List.of(line));
    }

    private void add(byte kind, List<ServerEndpoint> lines) {
        int size = HEAD + RECORD * lines.size();
        ByteBuffer event = ByteBuffer.allocate(LENGTH + size).putInt(size).putLong(events.size() + 1L).put(kind);
        for (ServerEndpoint line : lines) {
            event.putInt((int) line.id()).put(line.address().getAddress().getAddress())
                    .putShort((short) line.address().getPort()).put((byte) line.status().ordinal()).putShort((short) 0)
                    .putShort((short) line.pool()).putInt((int) (line.weight() * WEIGHT_UNIT))
                    .putLong(line.startedAt().toEpochMilli());
        }
        events.add(event.array());
        subscribers.forEach(subscriber -> subscriber.connection.write(event.array()));
    }

    private void beat(Scheduler scheduler) {
        byte[] nothing = ByteBuffer.allocate(LENGTH + HEAD).putInt(HEAD).putLong(events.size()).put(NOTHING_NEW).array();
        subscribers.forEach(subscriber -> subscriber.connection.write(nothing));
        scheduler.after(HEARTBEAT, () -> beat(scheduler));
    }

    /** The state machine of a controller's connection. */
    Protocol accept() {
        return new Subscriber();
    }

    /** First hears the number of the last event that the controller knows. */
    private final class Subscriber implements Protocol {

        private final ByteBuffer last = ByteBuffer.allocate(Long.BYTES);
        private Connection connection;

        @Override
        public void opened(Connection up) {
            connection = up;
        }

        @Override
        public void received(ByteBuffer bytes) {
            while (bytes.hasRemaining() && last.hasRemaining()) {
                last.put(bytes.get());
            }
            if (!last.hasRemaining() && subscribers.add(this)) {
                events.subList((int) last.getLong(0), events.size()).forEach(connection::write);
            }
        }

        @Override
        public void closed(CloseReason end) {
            subscribers.remove(this);
        }
    }
}
