package pathlane.lab;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.transport.Connection;
import pathlane.transport.Protocol;

/**
 * A simulated connection between two protocol state machines, with the faults of each direction applied. Bytes keep their
 * order. It has no socket of its own: the test bed connects its ends to sockets, the virtual fleet to the state machines.
 */
public final class FaultyConnection {

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final class Side implements Connection {
        final String name;
        final Protocol protocol;
        final Faults.Direction direction;
        final Deque<byte[]> heldBytes = new ArrayDeque<>();
        Side other;
        boolean open = true;
        Instant busyUntil = Instant.MIN;

        Side(String name, Protocol protocol, Faults.Direction direction) {
            this.name = name;
            this.protocol = protocol;
            this.direction = direction;
        }

        @Override
        public void write(byte[] bytes) {
            if (open && bytes.length > 0) {
                direction.bytesWritten += bytes.length;
                enqueue(bytes);
            }
        }

        @Override
        public void close(CloseReason reason) {
            if (open) {
                open = false;
                enqueue(CLOSE_MARKER);
                scheduler.after(Duration.ZERO, () -> sideClosed(this, reason));
            }
        }

        private void enqueue(byte[] bytes) {
            if (direction.isBlocked || !heldBytes.isEmpty()) {
                if (heldBytes.isEmpty()) {
                    direction.onRestored.add(this::sendHeld);
                }
                heldBytes.add(bytes);
            } else {
                transmit(bytes);
            }
        }

        private void sendHeld() {
            while (!heldBytes.isEmpty() && !direction.isBlocked) {
                transmit(heldBytes.poll());
            }
            if (!heldBytes.isEmpty()) {
                direction.onRestored.add(this::sendHeld);
            }
        }

        private void transmit(byte[] bytes) {
            Instant now = scheduler.now();
            Instant start = busyUntil.isAfter(now) ? busyUntil : now;
            Duration transmission = direction.bytesPerSecond == 0 ? Duration.ZERO
                    : Duration.ofNanos(bytes.length * NANOS_PER_SECOND / direction.bytesPerSecond);
            busyUntil = start.plus(transmission);
            Duration delay = Duration.between(now, busyUntil).plus(latency).plus(direction.delay);
            Instant arrival = now.plus(delay);
            // Keeps the order when a delay is reduced.
            arrivesAt = arrival.isAfter(arrivesAt) ? arrival : arrivesAt;
            inTransit.add(bytes);
            scheduler.after(Duration.between(now, arrivesAt), () -> arrive(inTransit.poll()));
        }

        private Instant arrivesAt = Instant.MIN;
        /** In sending order, even if timers that are due at the same time fire in another order. */
        private final Deque<byte[]> inTransit = new ArrayDeque<>();

        private void arrive(byte[] bytes) {
            if (bytes == CLOSE_MARKER) {
                if (other.open) {
                    other.open = false;
                    sideClosed(other, CloseReason.CLOSED_BY_PEER);
                }
            } else if (other.open) {
                other.protocol.received(ByteBuffer.wrap(bytes));
            }
        }

        @Override
        public boolean isBlocked() {
            return !heldBytes.isEmpty();
        }

        @Override
        public String remote() {
            return other.name;
        }
    }

    private static final byte[] CLOSE_MARKER = {};

    private final Scheduler scheduler;
    private final Faults faults;
    private final Duration latency;
    private final Side near;
    private final Side far;
    private int closedSides;

    /** Opens both ends immediately. */
    public FaultyConnection(Scheduler scheduler, Faults faults, Duration latency, String nearName, Protocol near,
            String farName,
            Protocol far) {
        this.scheduler = scheduler;
        this.faults = faults;
        this.latency = latency;
        this.near = new Side(nearName, near, faults.direction(nearName, farName));
        this.far = new Side(farName, far, faults.direction(farName, nearName));
        this.near.other = this.far;
        this.far.other = this.near;
        faults.opened(this);
        far.opened(this.far);
        near.opened(this.near);
    }

    private void sideClosed(Side side, CloseReason reason) {
        if (++closedSides == 2) {
            faults.closed(this);
        }
        side.protocol.closed(reason);
    }

    boolean involves(String party) {
        return near.name.equals(party) || far.name.equals(party);
    }

    boolean connects(String one, String other) {
        return near.name.equals(one) && far.name.equals(other) || near.name.equals(other) && far.name.equals(one);
    }

    void reset() {
        closeSide(near, CloseReason.RESET);
        closeSide(far, CloseReason.RESET);
    }

    void halfClose(String notified) {
        closeSide(near.name.equals(notified) ? near : far, CloseReason.RESET);
    }

    /** A process has died: its own end is not notified; the peer is once the close reaches it. */
    void processDied(String party) {
        Side dead = near.name.equals(party) ? near : far;
        if (dead.open) {
            dead.open = false;
            closedSides++;
            dead.enqueue(CLOSE_MARKER);
            if (closedSides == 2) {
                faults.closed(this);
            }
        }
    }

    private void closeSide(Side side, CloseReason reason) {
        if (side.open) {
            side.open = false;
            sideClosed(side, reason);
        }
    }
}
