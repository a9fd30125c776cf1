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
 * Connects one socket channel with its protocol's state machine. Written messages are queued here until the end of the event
 * loop's turn, and as long as the remote side does not read: a message can be cancelled until it is passed to the channel.
 */
final class NettyConnection extends ChannelInboundHandlerAdapter implements Connection {

    /** How long a close waits for written messages to leave and for the remote side to close; then they are dropped. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(500);
    /** The estimated memory that a queued message takes beside its bytes. */
    private static final int MESSAGE_OVERHEAD_BYTES = 64;

    /** A message that was passed to the channel and may not be completely written to the socket yet. */
    private record ChannelWrite(byte[] message, ChannelFuture written) {}

    private final Protocol protocol;
    private final RateLimitedLog log;
    /** The connection is aborted when more than this is unsent after a flush: the remote side has stopped reading. */
    private final long maxUnsentBytes;
    private final ArrayDeque<byte[]> queue = new ArrayDeque<>();
    private long queueBytes;
    /** Not empty only while the remote side does not read; in the order of writing. */
    private final List<ChannelWrite> channelWrites = new ArrayList<>();
    private SocketChannel channel;
    private CloseReason closeReason;
    /** Whether input is still passed on to the protocol, which may be so after this side has closed the connection. */
    private boolean isReceiving = true;
    private boolean isFlushScheduled;
    /** Whether the last flush left unwritten bytes in the channel. */
    private boolean isBlocked;

    NettyConnection(Protocol protocol, long maxUnsentBytes, RateLimitedLog log) {
        this.maxUnsentBytes = maxUnsentBytes;
        this.protocol = protocol;
        this.log = log;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        activate((SocketChannel) context.channel());
    }

    /** Notifies the protocol that the connection is open; later calls do nothing. */
    void activate(SocketChannel activeChannel) {
        if (channel == null) {
            channel = activeChannel;
            protocol.opened(this);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        try {
            if (isReceiving) {
                protocol.received(bytes.nioBuffer());
            }
        } finally {
            bytes.release();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        protocol.closed(closeReason == null ? CloseReason.CLOSED_BY_PEER : closeReason);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            // An unexpected exception in the handling of one connection ends that connection alone, not the process.
            StringWriter trace = new StringWriter();
            cause.printStackTrace(new PrintWriter(trace));
            log.warn("unexpected exception on connection with {0}: {1}", remote(), trace);
        }
        closeReason = closeReason == null ? CloseReason.RESET : closeReason;
        isReceiving = false;
        context.close();
    }

    // ---- writing

    @Override
    public void write(byte[] bytes) {
        if (closeReason != null) {
            return;
        }
        queue.add(bytes);
        queueBytes += bytes.length + MESSAGE_OVERHEAD_BYTES;
        if (!isFlushScheduled) {
            // All writes of one turn of the loop are flushed together: a system call for each message is the largest cost
            // of a busy node.
            // The flush runs after the handling of all closes that were read in the same turn, as these may cancel queued
            // messages. They are delivered by tasks that are in the loop's queue by the time the outer task here runs,
            // hence a second task.
            isFlushScheduled = true;
            channel.eventLoop().execute(() -> channel.eventLoop().execute(() -> {
                isFlushScheduled = false;
                flush();
            }));
        }
        if (unsentBytes() > maxUnsentBytes) {
            flush();
            abortIfUnread();
        }
    }

    /** Aborts if the socket has refused too much. What was not offered to it yet says nothing about the remote side. */
    private void abortIfUnread() {
        if (unsentBytes() > maxUnsentBytes) {
            abort(CloseReason.OVERFLOW);
        }
    }

    /** Passes the queue to the channel, unless the channel has unwritten bytes: messages behind these stay cancellable. */
    @Override
    public void flush() {
        if (!channel.isOpen()) {
            return;   // what is queued counts as unsent
        }
        channelWrites.removeIf(write -> write.written().isSuccess());
        if (channelPendingBytes() == 0) {
            writeQueue();
        }
        isBlocked = channelPendingBytes() > 0;
    }

    private void writeQueue() {
        ChannelFuture last = null;
        for (byte[] message = queue.poll(); message != null; message = queue.poll()) {
            last = channel.write(Unpooled.wrappedBuffer(message))
                    .addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
            channelWrites.add(new ChannelWrite(message, last));
        }
        queueBytes = 0;
        channel.flush();
        channelWrites.removeIf(write -> write.written().isSuccess());
        if (last != null && !last.isDone()) {
            last.addListener(written -> channel.eventLoop().execute(this::flush));
        }
    }

    @Override
    public CancelResult cancelWrite(byte[] bytes) {
        for (Iterator<byte[]> queued = queue.iterator(); queued.hasNext();) {
            if (queued.next() == bytes) {
                queued.remove();
                queueBytes -= bytes.length + MESSAGE_OVERHEAD_BYTES;
                return CancelResult.CANCELLED;
            }
        }
        boolean isFirst = true;
        for (ChannelWrite write : channelWrites) {
            if (write.message() == bytes && !write.written().isDone()) {
                boolean hasBegun = isFirst && channel.unsafe().outboundBuffer() != null
                        && channel.unsafe().outboundBuffer().currentProgress() > 0;
                return hasBegun ? CancelResult.SENT : CancelResult.COMMITTED;
            }
            isFirst &= write.written().isDone();
        }
        return CancelResult.SENT;
    }

    /** The bytes that were passed to the channel and not written to the socket. */
    private long channelPendingBytes() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    /** The bytes not written to the socket yet, with the overhead of keeping them; zero once the connection is closed. */
    long unsentBytes() {
        return channel == null || !channel.isOpen() ? 0 : channelPendingBytes() + queueBytes;
    }

    @Override
    public boolean isBlocked() {
        isBlocked = isBlocked && channelPendingBytes() > 0;
        return isBlocked;
    }

    // ---- closing

    @Override
    public void close(CloseReason reason) {
        if (closeReason == null) {
            closeReason = reason;
            isReceiving = false;
            writeQueue();
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            scheduleForcedClose();
        }
    }

    @Override
    public void halfClose(CloseReason reason) {
        if (closeReason == null) {
            closeReason = reason;
            shutdownOutput();
        }
    }

    /**
     * Like {@link #halfClose}, but further input is dropped. Used at shutdown: closing a socket with unread input resets the
     * connection, and the remote side could lose final answers that it has not read yet.
     */
    void finishDroppingInput(CloseReason reason) {
        if (closeReason == null) {
            closeReason = reason;
            isReceiving = false;
            shutdownOutput();
        }
    }

    private void shutdownOutput() {
        writeQueue();
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> {
            if (written.isSuccess()) {
                channel.shutdownOutput();
            }
        });
        scheduleForcedClose();
    }

    /** A remote side that does not read, or does not close, would otherwise keep the file descriptor open indefinitely. */
    private void scheduleForcedClose() {
        if (channel.isOpen()) {
            channel.eventLoop().schedule(() -> channel.close(), CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void abort(CloseReason reason) {
        closeReason = closeReason == null ? reason : closeReason;
        isReceiving = false;
        channel.close();
    }

    @Override
    public List<byte[]> unsentMessages() {
        List<byte[]> unsent = new ArrayList<>();
        channelWrites.stream().filter(write -> !write.written().isSuccess()).forEach(write -> unsent.add(write.message()));
        unsent.addAll(queue);
        return unsent;
    }

    @Override
    public String remote() {
        return String.valueOf(channel == null ? null : channel.remoteAddress());
    }
}
