package pathlane.lab;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.transport.Connection;
import pathlane.transport.Protocol;

/** An event bus that publishes the list of session servers as numbered events with per-controller addresses. */
public final class EventBus {

    private static final Duration EACH = Duration.ofSeconds(1);
    private static final int HEAD = 9;
    private static final int RECORD = 27;
    private static final int LENGTH = 4;
    private static final byte WHOLE = 1;
    private static final byte CHANGES = 2;
    private static final int LOOPBACK = 0x7f000001;
    private static final int WEIGHT = 1000;

    /** A change of one server: its index in the list and its state as on the wire: 0 ready, 1 draining, 2 gone. */
    record Change(long id, int place, int state, long startedMillis) {}

    private final Scheduler time;
    private final BiFunction<String, Integer, Integer> port;
    private final List<Change> changes = new ArrayList<>();
    private final Set<Line> lines = new LinkedHashSet<>();

    /** {@code port} returns a server's port as seen by a controller, by the controller's name and the server's index. */
    public EventBus(Scheduler time, BiFunction<String, Integer, Integer> port) {
        this.time = time;
        this.port = port;
        time.after(EACH, this::beat);
    }

    /** The state machine for a controller's connection. */
    public Protocol accept(String from) {
        return new Line(from);
    }

    /** Publishes a change to all connected subscribers, and to the others once they connect. */
    public void tell(long id, int place, int state, long startedMillis) {
        changes.add(new Change(id, place, state, startedMillis));
        lines.forEach(line -> line.send(changes.size()));
    }

    private void beat() {
        lines.forEach(Line::beat);
        time.after(EACH, this::beat);
    }

    /**
     * One subscriber's connection. Event 1 is the complete initial list, which is empty because a controller has it in its
     * configuration; it is sent to a subscriber that knows no event. Changes are numbered from 2.
     */
    private final class Line implements Protocol {
        private final String from;
        private final ByteBuffer last = ByteBuffer.allocate(Long.BYTES);
        private Connection connection;

        Line(String from) {
            this.from = from;
        }

        @Override
        public void opened(Connection up) {
            connection = up;
        }

        @Override
        public void received(ByteBuffer bytes) {
            while (bytes.hasRemaining() && last.hasRemaining()) {
                last.put(bytes.get());
            }
            if (!last.hasRemaining() && lines.add(this)) {
                if (last.getLong(0) == 0) {
                    connection.write(ByteBuffer.allocate(LENGTH + HEAD).putInt(HEAD).putLong(1).put(WHOLE).array());
                }
                for (int number = Math.max(1, (int) last.getLong(0)); number < changes.size() + 1; number++) {
                    send(number);
                }
                beat();
            }
        }

        private void beat() {
            connection.write(ByteBuffer.allocate(LENGTH + HEAD).putInt(HEAD).putLong(changes.size() + 1L).put((byte) 0)
                    .array());
        }

        private void send(int place) {
            Change change = changes.get(place - 1);
            connection.write(ByteBuffer.allocate(LENGTH + HEAD + RECORD).putInt(HEAD + RECORD).putLong(place + 1L)
                    .put(CHANGES).putInt((int) change.id()).putInt(LOOPBACK)
                    .putShort((short) (int) port.apply(from, change.place())).put((byte) change.state())
                    .putShort((short) 0).putShort((short) change.place()).putInt(WEIGHT).putLong(change.startedMillis())
                    .array());
        }

        @Override
        public void closed(CloseReason end) {
            lines.remove(this);
        }
    }
}
