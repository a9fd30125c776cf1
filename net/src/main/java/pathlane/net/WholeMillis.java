package pathlane.net;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import java.util.concurrent.TimeUnit;

/**
 * Has the loop wait for its next timer in whole milliseconds, rounded up. The selector can wait no finer, and Netty
 * rounds to the nearest: half of all waits then end up to half a millisecond early, and the loop turns on the spot, with
 * several calls to the system in each turn, until the timer is due. On a small part of a core, and with a hundred such
 * programs, that costs more than all calls together.
 */
final class WholeMillis implements IoHandler {

    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final IoHandler handler;

    private WholeMillis(IoHandler handler) {
        this.handler = handler;
    }

    static IoHandlerFactory around(IoHandlerFactory factory) {
        return executor -> new WholeMillis(factory.newHandler(executor));
    }

    /** The next whole millisecond; what is due, and what is never, stays. */
    static long up(long nanos) {
        return nanos <= 0 || nanos > Long.MAX_VALUE - MILLI ? nanos : (nanos + MILLI - 1) / MILLI * MILLI;
    }

    @Override
    public int run(IoHandlerContext context) {
        return handler.run(new IoHandlerContext() {
            @Override
            public boolean canBlock() {
                return context.canBlock();
            }

            @Override
            public long delayNanos(long now) {
                return up(context.delayNanos(now));
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
        handler.initialize();
    }

    @Override
    public void prepareToDestroy() {
        handler.prepareToDestroy();
    }

    @Override
    public void destroy() {
        handler.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return handler.register(handle);
    }

    @Override
    public void wakeup() {
        handler.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return handler.isCompatible(type);
    }
}
