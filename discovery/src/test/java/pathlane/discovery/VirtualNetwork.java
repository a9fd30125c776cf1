package pathlane.discovery;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import pathlane.core.CloseReason;
import pathlane.group.AuthenticatedLink;
import pathlane.group.KeyRing;
import pathlane.standin.VirtualTime;
import pathlane.transport.Connection;
import pathlane.transport.Connector;
import pathlane.transport.Protocol;
import pathlane.transport.RateLimitedLog;

/** In-process connections in virtual time with a latency of one millisecond. Listeners can be removed and added again. */
final class VirtualNetwork implements Connector {

    private static final Duration LATENCY = Duration.ofMillis(1);
    private static final KeyRing KEYS = KeyRing.read("test 000102030405060708090a0b0c0d0e0f");

    final VirtualTime time = new VirtualTime();
    private final Map<InetSocketAddress, Supplier<Protocol>> listeners = new HashMap<>();
    private final AtomicLong nonces = new AtomicLong();

    AuthenticatedLink.Context common(String name) {
        return new AuthenticatedLink.Context(name, () -> KEYS,
                () -> ByteBuffer.allocate(16).putLong(nonces.incrementAndGet()).array(), time,
                new RateLimitedLog("test", time));
    }

    void listen(InetSocketAddress address, Supplier<Protocol> accept) {
        listeners.put(address, accept);
    }

    void stopListening(InetSocketAddress address) {
        listeners.remove(address);
    }

    void pass(Duration span) {
        time.advance(span);
    }

    @Override
    public void connect(InetSocketAddress address, Duration timeout, Protocol protocol) {
        time.after(LATENCY, () -> {
            Supplier<Protocol> accept = listeners.get(address);
            if (accept == null) {
                protocol.closed(CloseReason.REFUSED);
                return;
            }
            End near = new End(protocol);
            End far = new End(accept.get());
            near.other = far;
            far.other = near;
            List.of(near, far).forEach(end -> end.protocol.opened(end));
        });
    }

    private final class End implements Connection {

        private final Protocol protocol;
        private End other;
        private boolean open = true;

        End(Protocol protocol) {
            this.protocol = protocol;
        }

        @Override
        public void write(byte[] bytes) {
            if (open) {
                time.after(LATENCY, () -> {
                    if (other.open) {
                        other.protocol.received(ByteBuffer.wrap(bytes));
                    }
                });
            }
        }

        @Override
        public void close(CloseReason reason) {
            ended(reason);
            time.after(LATENCY, () -> other.ended(CloseReason.CLOSED_BY_PEER));
        }

        private void ended(CloseReason reason) {
            if (open) {
                open = false;
                time.after(Duration.ZERO, () -> protocol.closed(reason));
            }
        }

        @Override
        public String remote() {
            return "test";
        }
    }
}
