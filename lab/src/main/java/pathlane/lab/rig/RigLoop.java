package pathlane.lab.rig;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.transport.Connection;
import pathlane.transport.Connector;
import pathlane.transport.Protocol;

/**
 * The test bed's event loop: its only thread, its scheduler and its sockets, on loopback only. Unlike the program's own
 * transport it can reset a connection (RST), which is one of the faults. Its stalls bound the error of recorded times.
 */
public final class RigLoop implements Scheduler, Connector, AutoCloseable {

    private static final Duration STALL_CHECK_INTERVAL = Duration.ofMillis(5);
    /** Small, so that it is quickly filled; the event loop accepts connections immediately. */
    private static final int BACKLOG = 8;
    private static final String LOOPBACK = "127.0.0.1";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private long checkedAtNanos = System.nanoTime();
    private long maxStallNanos;

    /** Starts the periodic task that measures stalls of the event loop. */
    public RigLoop() {
        loop.scheduleAtFixedRate(() -> {
            long now = System.nanoTime();
            maxStallNanos = Math.max(maxStallNanos, now - checkedAtNanos - STALL_CHECK_INTERVAL.toNanos());
            checkedAtNanos = now;
        }, 0, STALL_CHECK_INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** The longest stall of the event loop since it was created; must be called on the event loop. */
    public Duration maxStall() {
        return Duration.ofNanos(maxStallNanos);
    }

    @Override
    public Instant now() {
        return Instant.now();
    }

    @Override
    public Duration lag() {
        return Duration.ZERO;   // simulated parties ignore the lag of the event loop
    }

    @Override
    public Timer after(Duration delay, Runnable task) {
        Future<?> timer = loop.schedule(task, Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
        return () -> timer.cancel(false);
    }

    /** Runs a task on the event loop and returns its result; must not be called on the event loop. */
    public <T> T call(Callable<T> task) throws InterruptedException {
        try {
            return loop.submit(task).get(1, TimeUnit.MINUTES);
        } catch (ExecutionException e) {
            throw e.getCause() instanceof RuntimeException cause ? cause : new IllegalStateException(e.getCause());
        } catch (TimeoutException e) {
            throw new IllegalStateException("the test bed's event loop hangs", e);
        }
    }

    /** Runs a task on the event loop and waits for its completion. */
    public void run(Runnable task) throws InterruptedException {
        call(() -> {
            task.run();
            return null;
        });
    }

    /** A listening port. Used on the event loop. */
    public final class Listener {

        private final Channel channel;
        private final InetSocketAddress address;
        private final List<Channel> fillers = new ArrayList<>();

        private Listener(Channel channel) {
            this.channel = channel;
            this.address = (InetSocketAddress) channel.localAddress();
        }

        /**
         * Makes connection attempts time out, as in a partition: fills the accept queue with connections of its own, so
         * that the system drops further SYN packets and a connecting party gets no response.
         */
        public void stopAccepting() {
            if (!fillers.isEmpty()) {
                return;
            }
            channel.config().setAutoRead(false);
            for (int i = 0; i < BACKLOG + 2; i++) {
                fillers.add(new Bootstrap().group(loop).channel(NioSocketChannel.class)
                        .handler(new ChannelInboundHandlerAdapter()).connect(address).channel());
            }
        }

        /** Accepts connections again. */
        public void resumeAccepting() {
            fillers.forEach(Channel::close);
            fillers.clear();
            channel.config().setAutoRead(true);
        }
    }

    /** Listens on loopback; a null protocol rejects the connection. */
    public Listener listen(int port, Supplier<Protocol> protocols) throws InterruptedException {
        return listen(port, BACKLOG, protocols);
    }

    /** The same with the given backlog; only a listener with a small backlog supports {@link Listener#stopAccepting}. */
    public Listener listen(int port, int backlog, Supplier<Protocol> protocols) throws InterruptedException {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_BACKLOG, backlog)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        Protocol protocol = protocols.get();
                        if (protocol == null) {
                            channel.config().setSoLinger(0);
                            channel.close();
                        } else {
                            channel.pipeline().addLast(new Socket(protocol));
                        }
                    }
                }).bind(LOOPBACK, port).await();
        if (!bound.isSuccess()) {
            throw new IllegalStateException("can't listen on port " + port, bound.cause());
        }
        return new Listener(bound.channel());
    }

    @Override
    public void connect(InetSocketAddress address, Duration timeout, Protocol protocol) {
        new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis()).handler(new Socket(protocol))
                .connect(address).addListener(done -> {
                    if (!done.isSuccess()) {
                        protocol.closed(CloseReason.REFUSED);
                    }
                });
    }

    /** Opens a datagram socket on loopback that passes on each datagram with its sender. Returns its send function. */
    BiConsumer<InetSocketAddress, byte[]> openDatagramSocket(int port, BiConsumer<InetSocketAddress, byte[]> received)
            throws InterruptedException {
        Channel channel = new Bootstrap().group(loop).channel(NioDatagramChannel.class)
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                        byte[] bytes = new byte[packet.content().readableBytes()];
                        packet.content().readBytes(bytes);
                        received.accept(packet.sender(), bytes);
                    }
                }).bind(LOOPBACK, port).sync().channel();
        return (to, bytes) -> channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to));
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** The socket of one protocol state machine. */
    private static final class Socket extends ChannelInboundHandlerAdapter implements Connection {

        private final Protocol protocol;
        private Channel channel;
        private CloseReason closeReason;

        Socket(Protocol protocol) {
            this.protocol = protocol;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            protocol.opened(this);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            byte[] copy = new byte[bytes.readableBytes()];
            bytes.readBytes(copy);
            bytes.release();
            if (closeReason == null) {
                protocol.received(ByteBuffer.wrap(copy));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            protocol.closed(closeReason == null ? CloseReason.CLOSED_BY_PEER : closeReason);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            closeReason = closeReason == null ? CloseReason.RESET : closeReason;
            context.close();
        }

        @Override
        public void write(byte[] bytes) {
            if (closeReason == null) {
                channel.writeAndFlush(Unpooled.wrappedBuffer(bytes));
            }
        }

        @Override
        public void close(CloseReason reason) {
            if (closeReason == null) {
                closeReason = reason;
                if (reason == CloseReason.RESET) {
                    ((SocketChannel) channel).config().setSoLinger(0);
                    channel.close();
                } else {
                    channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
                }
            }
        }

        @Override
        public String remote() {
            return String.valueOf(channel.remoteAddress());
        }
    }
}
