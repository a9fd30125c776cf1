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

    private static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(1);
    private static final int HEADER_BYTES = 9;
    private static final int RECORD_BYTES = 27;
    private static final int LENGTH_BYTES = 4;
    private static final byte COMPLETE_LIST = 1;
    private static final byte CHANGE_LIST = 2;
    private static final int LOOPBACK = 0x7f000001;
    private static final int SERVER_WEIGHT = 1000;

    /** A change of one server: its index in the list and its state as on the wire: 0 ready, 1 draining, 2 gone. */
    record Change(long id, int index, int state, long startedMillis) {}

    private final Scheduler scheduler;
    private final BiFunction<String, Integer, Integer> serverPort;
    private final List<Change> changes = new ArrayList<>();
    private final Set<Subscription> subscriptions = new LinkedHashSet<>();

    /** {@code port} returns a server's port as seen by a controller, by the controller's name and the server's index. */
    public EventBus(Scheduler scheduler, BiFunction<String, Integer, Integer> serverPort) {
        this.scheduler = scheduler;
        this.serverPort = serverPort;
        scheduler.after(HEARTBEAT_INTERVAL, this::sendHeartbeats);
    }

    /** The state machine for a controller's connection. */
    public Protocol accept(String from) {
        return new Subscription(from);
    }

    /** Publishes a change to all connected subscribers, and to the others once they connect. */
    public void publish(long id, int index, int state, long startedMillis) {
        changes.add(new Change(id, index, state, startedMillis));
        subscriptions.forEach(line -> line.send(changes.size()));
    }

    private void sendHeartbeats() {
        subscriptions.forEach(Subscription::sendHeartbeat);
        scheduler.after(HEARTBEAT_INTERVAL, this::sendHeartbeats);
    }

    /**
     * One subscriber's connection. Event 1 is the complete initial list, which is empty because a controller has it in its
     * configuration; it is sent to a subscriber that knows no event. Changes are numbered from 2.
     */
    private final class Subscription implements Protocol {
        private final String subscriber;
        private final ByteBuffer lastEventNumber = ByteBuffer.allocate(Long.BYTES);
        private Connection connection;

        Subscription(String subscriber) {
            this.subscriber = subscriber;
        }

        @Override
        public void opened(Connection opened) {
            connection = opened;
        }

        @Override
        public void received(ByteBuffer bytes) {
            while (bytes.hasRemaining() && lastEventNumber.hasRemaining()) {
                lastEventNumber.put(bytes.get());
            }
            if (!lastEventNumber.hasRemaining() && subscriptions.add(this)) {
                if (lastEventNumber.getLong(0) == 0) {
                    connection.write(ByteBuffer.allocate(LENGTH_BYTES + HEADER_BYTES).putInt(HEADER_BYTES).putLong(1)
                            .put(COMPLETE_LIST).array());
                }
                for (int number = Math.max(1, (int) lastEventNumber.getLong(0)); number < changes.size() + 1; number++) {
                    send(number);
                }
                sendHeartbeat();
            }
        }

        private void sendHeartbeat() {
            connection.write(ByteBuffer.allocate(LENGTH_BYTES + HEADER_BYTES).putInt(HEADER_BYTES)
                    .putLong(changes.size() + 1L).put((byte) 0)
                    .array());
        }

        private void send(int number) {
            Change change = changes.get(number - 1);
            connection.write(ByteBuffer.allocate(LENGTH_BYTES + HEADER_BYTES + RECORD_BYTES)
                    .putInt(HEADER_BYTES + RECORD_BYTES).putLong(number + 1L)
                    .put(CHANGE_LIST).putInt((int) change.id()).putInt(LOOPBACK)
                    .putShort((short) (int) serverPort.apply(subscriber, change.index())).put((byte) change.state())
                    .putShort((short) 0).putShort((short) change.index()).putInt(SERVER_WEIGHT)
                    .putLong(change.startedMillis())
                    .array());
        }

        @Override
        public void closed(CloseReason reason) {
            subscriptions.remove(this);
        }
    }
}
