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

/** A wait that ends before its timer is due has the loop turn on the spot. */
class WholeMillisTest {

    @Test
    void noWaitEndsBeforeItsTimerIsDue() {
        long[] delays = {1, 499_999, 500_000, 1_000_000, 1_000_001, 24_400_000, 24_600_000};
        List<Long> asked = new ArrayList<>();
        for (long delay : delays) {
            run(delay, asked);
        }
        assertEquals(List.of(1_000_000L, 1_000_000L, 1_000_000L, 1_000_000L, 2_000_000L, 25_000_000L, 25_000_000L), asked);
    }

    @Test
    void whatIsDueAndWhatIsNeverStay() {
        List<Long> asked = new ArrayList<>();
        run(0, asked);
        run(-5, asked);
        run(Long.MAX_VALUE, asked);
        assertEquals(List.of(0L, -5L, Long.MAX_VALUE), asked);
    }

    /** What the handler within is told of a next timer that is so far away. */
    private static void run(long delay, List<Long> asked) {
        IoHandler within = new IoHandler() {
            @Override
            public int run(IoHandlerContext context) {
                asked.add(context.delayNanos(System.nanoTime()));
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
        IoHandler around = WholeMillis.around(executor -> within).newHandler(null);
        assertNotNull(around);
        around.run(new IoHandlerContext() {
            @Override
            public boolean canBlock() {
                return true;
            }

            @Override
            public long delayNanos(long now) {
                return delay;
            }

            @Override
            public long deadlineNanos() {
                return delay;
            }
        });
    }
}
