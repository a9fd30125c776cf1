package pathlane.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import pathlane.core.CloseReason;
import pathlane.transport.ConnectionLimiter;
import pathlane.transport.Connector;
import pathlane.transport.Datagrams;
import pathlane.transport.Protocol;
import pathlane.transport.RateLimitedLog;

/** Listens and dials for both fronts, on one event loop. */
public final class Network implements Connector, Datagrams {

    private static final int BACKLOG = 512;
    /** Connections accepted at once, each with a descriptor before it is known whether there is room for it. */
    private static final int MOST_ACCEPTS = 8;
    private static final int FIRST_READ = 512;
    private static final int USUAL_READ = 2048;
    private static final int LONGEST_READ = 16 * 1024;
    /** Reads from one caller before the others have their turn. */
    private static final int MOST_READS = 2;
    /** What may wait to be written to a server or a bus: four of the longest messages, at hundreds of servers at once. */
    private static final long MOST_UNWRITTEN = 64 * 1024;
    private final EventLoop loop;
    private final RateLimitedLog limitedLog;
    /** Connections that are up or dialled, those that were accepted among them. On the loop's thread. */
    private final Set<Driver> drivers = new HashSet<>();
    private final Set<Driver> accepted = new HashSet<>();
    private final List<Channel> listening = new ArrayList<>();
    /** How many connections were ever accepted. */
    private long taken;
    /** The one socket that datagrams leave by, once there are any. */
    private ChannelFuture datagrams;

    public Network(EventLoop loop) {
        this.loop = loop;
        this.limitedLog = new RateLimitedLog("net", loop);
    }

    /**
     * Listens on this address only; each connection gets a state machine of its own, up to as many as the limit allows.
     * Off the loop's thread.
     *
     * @param most connections at once
     * @param mostUnwritten bytes that may wait to be written on one of them; more closes it
     * @return the address, with the port that was given out where none was asked for
     * @throws IllegalArgumentException where the address can't be had
     */
    public InetSocketAddress listen(InetSocketAddress address, Supplier<Protocol> protocols, int most,
            long mostUnwritten) {
        ConnectionLimiter admission = new ConnectionLimiter(most);
        ServerBootstrap server = new ServerBootstrap().group(loop.netty()).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MOST_ACCEPTS))
                .childOption(ChannelOption.TCP_NODELAY, true).childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
                // Reads until nothing is there: a caller's close is read with what it wrote just before.
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(FIRST_READ, USUAL_READ,
                        LONGEST_READ).respectMaybeMoreData(false).maxMessagesPerRead(MOST_READS))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        taken++;
                        Protocol protocol = protocols.get();
                        Driver driver = new Driver(protocol, mostUnwritten, limitedLog);
                        if (admission.isFull()) {
                            // Guards a connection that seems idle, with a set-up in it that has not been read yet: what
                            // is there by now is read before one of them gives way.
                            channel.eventLoop().execute(() -> admit(admission, protocol, driver, channel));
                        } else {
                            admit(admission, protocol, driver, channel);
                        }
                    }
                });
        ChannelFuture bound = server.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalArgumentException("can't listen on " + address + ": " + bound.cause().getMessage());
        }
        bound.channel().pipeline().addLast(new ChannelInboundHandlerAdapter() {
            @Override
            public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                // The acceptor before this one has stopped accepting for a second: what comes waits in the backlog.
                limitedLog.warn("no connection can be accepted now: {0}", cause.getMessage());
            }
        });
        loop.execute(() -> listening.add(bound.channel()));
        return (InetSocketAddress) bound.channel().localAddress();
    }

    private void admit(ConnectionLimiter admission, Protocol protocol, Driver driver, SocketChannel channel) {
        if (!channel.isActive()) {
            return;   // it has gone again, unheard
        }
        if (!admission.tryAdmit(protocol, driver::close)) {
            limitedLog.warn("connection from {0} turned away: {1} are open, all with calls",
                    channel.remoteAddress(), Integer.toString(admission.size()));
            channel.close();
            protocol.closed(CloseReason.LIMIT_REACHED);
            return;
        }
        accepted.add(driver);
        channel.closeFuture().addListener(closed -> {
            admission.closed(protocol);
            accepted.remove(driver);
        });
        track(driver, channel);
        channel.pipeline().addLast(driver);
        driver.begin(channel);
        channel.config().setAutoRead(true);
    }

    private void track(Driver driver, Channel channel) {
        drivers.add(driver);
        channel.closeFuture().addListener(closed -> drivers.remove(driver));
    }

    /** How many connections were ever accepted. On the loop's thread. */
    public long accepted() {
        return taken;
    }

    /** Whether all that was written anywhere has left. On the loop's thread. */
    public boolean hasWritten() {
        return drivers.stream().allMatch(driver -> driver.unwritten() == 0);
    }

    /** Takes nothing more from those who dialled here, and ends their connections in order. On the loop's thread. */
    public void partFromCallers() {
        listening.forEach(Channel::close);
        List.copyOf(accepted).forEach(driver -> driver.part(CloseReason.SHUTDOWN));
    }

    /** Whether nobody who dialled here is connected any more. On the loop's thread. */
    public boolean hasParted() {
        return accepted.isEmpty();
    }

    @Override
    public void connect(InetSocketAddress address, Duration timeout, Protocol protocol) {
        connect(address, timeout, protocol, MOST_UNWRITTEN);
    }

    /** A dialer whose connections may have so many bytes waiting to be written. */
    public Connector dialer(long mostUnwritten) {
        return (address, timeout, protocol) -> connect(address, timeout, protocol, mostUnwritten);
    }

    private void connect(InetSocketAddress address, Duration timeout, Protocol protocol, long mostUnwritten) {
        Driver driver = new Driver(protocol, mostUnwritten, limitedLog);
        Bootstrap client = new Bootstrap().group(loop.netty()).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, timeout.toMillis()))
                .option(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
                .option(ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(FIRST_READ, USUAL_READ, LONGEST_READ))
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        track(driver, channel);
                        channel.pipeline().addLast(driver);
                    }
                });
        loop.execute(() -> client.connect(address).addListener(done -> {
            if (!done.isSuccess()) {
                protocol.closed(end(done.cause()));
            }
        }));
    }

    @Override
    public void send(InetSocketAddress to, byte[] datagram) {
        if (datagrams == null) {
            datagrams = new Bootstrap().group(loop.netty()).channel(NioDatagramChannel.class)
                    .handler(new ChannelInboundHandlerAdapter()).bind(0);
        }
        datagrams.addListener(bound -> datagrams.channel()
                .writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), to)));
    }

    private static CloseReason end(Throwable cause) {
        if (cause instanceof ConnectTimeoutException) {
            return CloseReason.CONNECT_TIMED_OUT;
        }
        return cause instanceof ConnectException ? CloseReason.REFUSED : CloseReason.NOT_ATTEMPTED;
    }
}
