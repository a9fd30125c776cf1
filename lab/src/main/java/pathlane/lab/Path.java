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
public final class Path {

    private static final long SECOND = 1_000_000_000L;

    private final class End implements Connection {
        final String name;
        final Protocol protocol;
        final Faults.Way out;
        final Deque<byte[]> held = new ArrayDeque<>();
        End other;
        boolean open = true;
        Instant busyUntil = Instant.MIN;

        End(String name, Protocol protocol, Faults.Way out) {
            this.name = name;
            this.protocol = protocol;
            this.out = out;
        }

        @Override
        public void write(byte[] bytes) {
            if (open && bytes.length > 0) {
                out.bytes += bytes.length;
                enqueue(bytes);
            }
        }

        @Override
        public void close(CloseReason why) {
            if (open) {
                open = false;
                enqueue(CLOSE);
                scheduler.after(Duration.ZERO, () -> ended(this, why));
            }
        }

        private void enqueue(byte[] bytes) {
            if (out.cut || !held.isEmpty()) {
                if (held.isEmpty()) {
                    out.onRestored.add(this::handOn);
                }
                held.add(bytes);
            } else {
                leave(bytes);
            }
        }

        private void handOn() {
            while (!held.isEmpty() && !out.cut) {
                leave(held.poll());
            }
            if (!held.isEmpty()) {
                out.onRestored.add(this::handOn);
            }
        }

        private void leave(byte[] bytes) {
            Instant now = scheduler.now();
            Instant from = busyUntil.isAfter(now) ? busyUntil : now;
            Duration takes = out.throttle == 0 ? Duration.ZERO : Duration.ofNanos(bytes.length * SECOND / out.throttle);
            busyUntil = from.plus(takes);
            Duration after = Duration.between(now, busyUntil).plus(latency).plus(out.delay);
            Instant at = now.plus(after);
            // Keeps the order when a delay is reduced.
            arrivesAt = at.isAfter(arrivesAt) ? at : arrivesAt;
            onTheWay.add(bytes);
            scheduler.after(Duration.between(now, arrivesAt), () -> arrive(onTheWay.poll()));
        }

        private Instant arrivesAt = Instant.MIN;
        /** In sending order, even if timers that are due at the same time fire in another order. */
        private final Deque<byte[]> onTheWay = new ArrayDeque<>();

        private void arrive(byte[] bytes) {
            if (bytes == CLOSE) {
                if (other.open) {
                    other.open = false;
                    ended(other, CloseReason.CLOSED_BY_PEER);
                }
            } else if (other.open) {
                other.protocol.received(ByteBuffer.wrap(bytes));
            }
        }

        @Override
        public boolean isBlocked() {
            return !held.isEmpty();
        }

        @Override
        public String remote() {
            return other.name;
        }
    }

    private static final byte[] CLOSE = {};

    private final Scheduler scheduler;
    private final Faults faults;
    private final Duration latency;
    private final End near;
    private final End far;
    private int ends;

    /** Opens both ends immediately. */
    public Path(Scheduler scheduler, Faults faults, Duration latency, String nearName, Protocol near, String farName,
            Protocol far) {
        this.scheduler = scheduler;
        this.faults = faults;
        this.latency = latency;
        this.near = new End(nearName, near, faults.way(nearName, farName));
        this.far = new End(farName, far, faults.way(farName, nearName));
        this.near.other = this.far;
        this.far.other = this.near;
        faults.opened(this);
        far.opened(this.far);
        near.opened(this.near);
    }

    private void ended(End end, CloseReason why) {
        if (++ends == 2) {
            faults.closed(this);
        }
        end.protocol.closed(why);
    }

    boolean isOf(String party) {
        return near.name.equals(party) || far.name.equals(party);
    }

    boolean joins(String one, String other) {
        return near.name.equals(one) && far.name.equals(other) || near.name.equals(other) && far.name.equals(one);
    }

    void reset() {
        end(near, CloseReason.RESET);
        end(far, CloseReason.RESET);
    }

    void halfClose(String told) {
        end(near.name.equals(told) ? near : far, CloseReason.RESET);
    }

    /** A process has died: its own end is not notified; the peer is once the close reaches it. */
    void gone(String party) {
        End dead = near.name.equals(party) ? near : far;
        if (dead.open) {
            dead.open = false;
            ends++;
            dead.enqueue(CLOSE);
            if (ends == 2) {
                faults.closed(this);
            }
        }
    }

    private void end(End end, CloseReason why) {
        if (end.open) {
            end.open = false;
            ended(end, why);
        }
    }
}
