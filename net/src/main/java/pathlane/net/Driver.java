package pathlane.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.SocketChannel;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import pathlane.core.CloseReason;
import pathlane.transport.Connection;
import pathlane.transport.Protocol;
import pathlane.transport.RateLimitedLog;

/**
 * Reads and writes for one connection's state machine; knows no protocol. What is written waits here until the end of the
 * turn, and while the other side does not read: only what is handed to the channel can't be taken back any more.
 */
final class Driver extends ChannelInboundHandlerAdapter implements Connection {

    /** What was written before a close may take so long to leave; then it is dropped. */
    private static final Duration LAST_WORDS = Duration.ofMillis(500);
    /** What a message that waits takes up beside its bytes. */
    private static final int MESSAGE_OVERHEAD = 64;

    /** A message that the channel has been handed and has not said to have left. */
    private record Handed(byte[] message, ChannelFuture left) {}

    private final Protocol protocol;
    private final RateLimitedLog log;
    /** More than this waiting to be written means that the other side has stopped reading. */
    private final long mostUnwritten;
    private final ArrayDeque<byte[]> waiting = new ArrayDeque<>();
    private long waitingBytes;
    /** Filled only while the other side does not read, in the order in which they leave. */
    private final List<Handed> handed = new ArrayList<>();
    private SocketChannel channel;
    private CloseReason end;
    /** Whether what comes is still handed on though the connection has been ended here. */
    private boolean hears = true;
    private boolean flushDue;
    /** Whether something was left to be written by the last flush. */
    private boolean stuck;

    Driver(Protocol protocol, long mostUnwritten, RateLimitedLog log) {
        this.mostUnwritten = mostUnwritten;
        this.protocol = protocol;
        this.log = log;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        begin((SocketChannel) context.channel());
    }

    /** The connection is up; told once, however often it is said. */
    void begin(SocketChannel up) {
        if (channel == null) {
            channel = up;
            protocol.opened(this);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        try {
            if (hears) {
                protocol.received(bytes.nioBuffer());
            }
        } finally {
            bytes.release();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        protocol.closed(end == null ? CloseReason.CLOSED_BY_PEER : end);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            // Guards the process against one connection: a fault in its handling ends that connection alone.
            StringWriter trace = new StringWriter();
            cause.printStackTrace(new PrintWriter(trace));
            log.warn("fault while serving {0}: {1}", remote(), trace);
        }
        end = end == null ? CloseReason.RESET : end;
        hears = false;
        context.close();
    }

    // ---- writing

    @Override
    public void write(byte[] bytes) {
        if (end != null) {
            return;
        }
        waiting.add(bytes);
        waitingBytes += bytes.length + MESSAGE_OVERHEAD;
        if (!flushDue) {
            // What one turn of the loop writes leaves together: a call to the system for each message is the
            // dearest part of a busy node's work.
            // It leaves behind the closes that the same turn has read: they take back what is not to leave any more, and
            // are told by tasks that are in the queue by the time the first of these two runs.
            flushDue = true;
            channel.eventLoop().execute(() -> channel.eventLoop().execute(() -> {
                flushDue = false;
                flush();
            }));
        }
        if (unwritten() > mostUnwritten) {
            abort(CloseReason.OVERFLOW);
        }
    }

    /** Hands the channel what waits, unless it has something left: what is behind that can then still be taken back. */
    @Override
    public void flush() {
        if (!channel.isOpen()) {
            return;   // what waits stays unsent
        }
        handed.removeIf(one -> one.left().isSuccess());
        if (inChannel() == 0) {
            handOver();
        }
        stuck = inChannel() > 0;
    }

    private void handOver() {
        ChannelFuture last = null;
        for (byte[] message = waiting.poll(); message != null; message = waiting.poll()) {
            last = channel.write(Unpooled.wrappedBuffer(message))
                    .addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
            handed.add(new Handed(message, last));
        }
        waitingBytes = 0;
        channel.flush();
        handed.removeIf(one -> one.left().isSuccess());
        if (last != null && !last.isDone()) {
            last.addListener(left -> channel.eventLoop().execute(this::flush));
        }
    }

    @Override
    public Withdrawal cancelWrite(byte[] bytes) {
        for (Iterator<byte[]> one = waiting.iterator(); one.hasNext();) {
            if (one.next() == bytes) {
                one.remove();
                waitingBytes -= bytes.length + MESSAGE_OVERHEAD;
                return Withdrawal.WITHDRAWN;
            }
        }
        boolean first = true;
        for (Handed one : handed) {
            if (one.message() == bytes && !one.left().isDone()) {
                boolean begun = first && channel.unsafe().outboundBuffer() != null
                        && channel.unsafe().outboundBuffer().currentProgress() > 0;
                return begun ? Withdrawal.LEFT : Withdrawal.BOUND;
            }
            first &= one.left().isDone();
        }
        return Withdrawal.LEFT;
    }

    /** What the channel was handed and has not written. */
    private long inChannel() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    /** Bytes that have not left yet, with what keeping them takes; nought once the connection is closed. */
    long unwritten() {
        return channel == null || !channel.isOpen() ? 0 : inChannel() + waitingBytes;
    }

    @Override
    public boolean isBlocked() {
        stuck = stuck && inChannel() > 0;
        return stuck;
    }

    // ---- closing

    @Override
    public void close(CloseReason why) {
        if (end == null) {
            end = why;
            hears = false;
            handOver();
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            closeInTime();
        }
    }

    @Override
    public void finish(CloseReason why) {
        if (end == null) {
            end = why;
            endThisSide();
        }
    }

    /**
     * The same, but what still comes is dropped. Guards the last answers of a program that ends: what is closed over
     * unread input is reset, and the other side may lose what it has not read yet.
     */
    void part(CloseReason why) {
        if (end == null) {
            end = why;
            hears = false;
            endThisSide();
        }
    }

    private void endThisSide() {
        handOver();
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(left -> {
            if (left.isSuccess()) {
                channel.shutdownOutput();
            }
        });
        closeInTime();
    }

    /** Guards against a side that does not read, or does not close: its descriptor would be held for good. */
    private void closeInTime() {
        if (channel.isOpen()) {
            channel.eventLoop().schedule(() -> channel.close(), LAST_WORDS.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void abort(CloseReason why) {
        end = end == null ? why : end;
        hears = false;
        channel.close();
    }

    @Override
    public List<byte[]> unsentMessages() {
        List<byte[]> unsent = new ArrayList<>();
        handed.stream().filter(one -> !one.left().isSuccess()).forEach(one -> unsent.add(one.message()));
        unsent.addAll(waiting);
        return unsent;
    }

    @Override
    public String remote() {
        return String.valueOf(channel == null ? null : channel.remoteAddress());
    }
}
