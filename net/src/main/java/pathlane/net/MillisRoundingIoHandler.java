package pathlane.net;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import java.util.concurrent.TimeUnit;

/**
 * Rounds the event loop's wait for its next timer up to a full millisecond. The selector's timeout has millisecond
 * resolution and Netty rounds to the nearest: half of all waits would end up to half a millisecond early, and the loop would
 * spin until the timer is due, which makes an idle loop cost more processor time.
 */
final class MillisRoundingIoHandler implements IoHandler {

    private static final long MILLI_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final IoHandler delegate;

    private MillisRoundingIoHandler(IoHandler delegate) {
        this.delegate = delegate;
    }

    static IoHandlerFactory wrap(IoHandlerFactory factory) {
        return executor -> new MillisRoundingIoHandler(factory.newHandler(executor));
    }

    /** Rounds up to a full millisecond; zero or less (already due) and values near the maximum (never) stay. */
    static long roundUp(long nanos) {
        return nanos <= 0 || nanos > Long.MAX_VALUE - MILLI_NANOS ? nanos
                : (nanos + MILLI_NANOS - 1) / MILLI_NANOS * MILLI_NANOS;
    }

    @Override
    public int run(IoHandlerContext context) {
        return delegate.run(new IoHandlerContext() {
            @Override
            public boolean canBlock() {
                return context.canBlock();
            }

            @Override
            public long delayNanos(long now) {
                return roundUp(context.delayNanos(now));
            }

            @Override
            public long deadlineNanos() {
                return context.deadlineNanos();
            }

            @Override
            public void reportActiveIoTime(long nanos) {
                context.reportActiveIoTime(nanos);
            }

            @Override
            public boolean shouldReportActiveIoTime() {
                return context.shouldReportActiveIoTime();
            }
        });
    }

    @Override
    public void initialize() {
        delegate.initialize();
    }

    @Override
    public void prepareToDestroy() {
        delegate.prepareToDestroy();
    }

    @Override
    public void destroy() {
        delegate.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return delegate.register(handle);
    }

    @Override
    public void wakeup() {
        delegate.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return delegate.isCompatible(type);
    }
}
