package pathlane.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against waits that end before the next timer is due: the event loop would spin until it is. */
class MillisRoundingIoHandlerTest {

    @Test
    void waitsAreRoundedUpToFullMilliseconds() {
        long[] delays = {1, 499_999, 500_000, 1_000_000, 1_000_001, 24_400_000, 24_600_000};
        List<Long> waits = new ArrayList<>();
        for (long delay : delays) {
            run(delay, waits);
        }
        assertEquals(List.of(1_000_000L, 1_000_000L, 1_000_000L, 1_000_000L, 2_000_000L, 25_000_000L, 25_000_000L), waits);
    }

    @Test
    void dueAndInfiniteWaitsStayUnchanged() {
        List<Long> waits = new ArrayList<>();
        run(0, waits);
        run(-5, waits);
        run(Long.MAX_VALUE, waits);
        assertEquals(List.of(0L, -5L, Long.MAX_VALUE), waits);
    }

    /** Runs the handler once with a timer due after {@code delayNanos} and records the wait that its delegate receives. */
    private static void run(long delayNanos, List<Long> waits) {
        IoHandler delegate = new IoHandler() {
            @Override
            public int run(IoHandlerContext context) {
                waits.add(context.delayNanos(System.nanoTime()));
                return 0;
            }

            @Override
            public IoRegistration register(IoHandle handle) {
                throw new UnsupportedOperationException();
            }

            @Override
            public void wakeup() {}

            @Override
            public boolean isCompatible(Class<? extends IoHandle> type) {
                return true;
            }
        };
        IoHandler rounding = MillisRoundingIoHandler.wrap(executor -> delegate).newHandler(null);
        assertNotNull(rounding);
        rounding.run(new IoHandlerContext() {
            @Override
            public boolean canBlock() {
                return true;
            }

            @Override
            public long delayNanos(long now) {
                return delayNanos;
            }

            @Override
            public long deadlineNanos() {
                return delayNanos;
            }
        });
    }
}
