package pathlane.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import pathlane.core.ConnectionEnd;
import pathlane.link.Connection;
import pathlane.link.LimitedLog;
import pathlane.link.Protocol;

/** Reads and writes for one connection's state machine; knows no protocol. */
final class Driver extends ChannelInboundHandlerAdapter implements Connection {

    /** What was written before a close may take so long to leave; then it is dropped. */
    private static final Duration LAST_WORDS = Duration.ofMillis(500);

    private final Protocol protocol;
    private final LimitedLog log;
    /** More than this waiting to be written means that the other side has stopped reading. */
    private final long mostUnwritten;
    private Channel channel;
    private ConnectionEnd end;
    private boolean flushDue;
    /** Whether something was left to be written by the last flush. */
    private boolean stuck;

    Driver(Protocol protocol, long mostUnwritten, LimitedLog log) {
        this.mostUnwritten = mostUnwritten;
        this.protocol = protocol;
        this.log = log;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        protocol.opened(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        try {
            if (end == null) {
                protocol.received(bytes.nioBuffer());
            }
        } finally {
            bytes.release();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        protocol.closed(end == null ? ConnectionEnd.CLOSED_BY_PEER : end);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            // Guards the process against one connection: a fault in its handling ends that connection alone.
            StringWriter trace = new StringWriter();
            cause.printStackTrace(new PrintWriter(trace));
            log.warn("fault while serving {0}: {1}", remote(), trace);
        }
        end = end == null ? ConnectionEnd.RESET : end;
        context.close();
    }

    @Override
    public void write(byte[] bytes) {
        if (end != null) {
            return;
        }
        channel.write(Unpooled.wrappedBuffer(bytes)).addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
        if (!flushDue) {
            // What one turn of the loop writes leaves together: a call to the system for each message is the
            // dearest part of a busy node's work.
            flushDue = true;
            channel.eventLoop().execute(() -> {
                flushDue = false;
                channel.flush();
                stuck = unwritten() > 0;
            });
        }
        if (unwritten() > mostUnwritten) {
            end = ConnectionEnd.OVERFLOW;
            channel.close();
        }
    }

    private long unwritten() {
        ChannelOutboundBuffer waiting = channel.unsafe().outboundBuffer();
        return waiting == null ? 0 : waiting.totalPendingWriteBytes();
    }

    @Override
    public boolean isStuck() {
        stuck = stuck && unwritten() > 0;
        return stuck;
    }

    @Override
    public void close(ConnectionEnd why) {
        if (end == null) {
            end = why;
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            if (channel.isOpen()) {
                // Guards against a side that does not read: its descriptor would be held for good.
                channel.eventLoop().schedule(() -> channel.close(), LAST_WORDS.toMillis(), TimeUnit.MILLISECONDS);
            }
        }
    }

    @Override
    public String remote() {
        return String.valueOf(channel == null ? null : channel.remoteAddress());
    }
}
