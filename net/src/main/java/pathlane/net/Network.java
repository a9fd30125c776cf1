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

/** Accepts and opens TCP connections and sends datagrams, all on one event loop. */
public final class Network implements Connector, Datagrams {

    private static final int BACKLOG = 512;
    /** Accepted in one turn: each holds a descriptor before it is checked against the connection limit. */
    private static final int MAX_ACCEPTS_PER_TURN = 8;
    private static final int MIN_READ_BYTES = 512;
    private static final int INITIAL_READ_BYTES = 2048;
    private static final int MAX_READ_BYTES = 16 * 1024;
    /** Reads from one accepted connection in one turn, before the other connections are read. */
    private static final int MAX_READS_PER_TURN = 2;
    /** The default for outgoing connections, of which there may be hundreds: four messages of maximum size. */
    private static final long MAX_UNSENT_BYTES = 64 * 1024;
    private final EventLoop loop;
    private final RateLimitedLog limitedLog;
    /** All connections, open or connecting, the accepted ones included. On the loop's thread. */
    private final Set<NettyConnection> connections = new HashSet<>();
    private final Set<NettyConnection> acceptedConnections = new HashSet<>();
    private final List<Channel> listeningChannels = new ArrayList<>();
    /** Accepted since the start. */
    private long acceptedCount;
    /** The socket from which all datagrams are sent; opened when the first one is. */
    private ChannelFuture datagramSocket;

    public Network(EventLoop loop) {
        this.loop = loop;
        this.limitedLog = new RateLimitedLog("net", loop);
    }

    /**
     * Listens on an address; each accepted connection gets a protocol instance of its own. Must not be called on the loop's
     * thread.
     *
     * @param maxConnections open at once on this address
     * @param maxUnsentBytes on one connection; it is closed when more is waiting to be sent
     * @return the bound address, with the assigned port if the requested port was 0
     * @throws IllegalArgumentException if the address can't be bound
     */
    public InetSocketAddress listen(InetSocketAddress address, Supplier<Protocol> protocols, int maxConnections,
            long maxUnsentBytes) {
        ConnectionLimiter limiter = new ConnectionLimiter(maxConnections);
        ServerBootstrap server = new ServerBootstrap().group(loop.netty()).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTS_PER_TURN))
                .childOption(ChannelOption.TCP_NODELAY, true).childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
                // Reads until no input is left, so that a client's close is seen together with what it sent just before.
                .childOption(ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES,
                                MAX_READ_BYTES).respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS_PER_TURN))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        acceptedCount++;
                        Protocol protocol = protocols.get();
                        NettyConnection connection = new NettyConnection(protocol, maxUnsentBytes, limitedLog);
                        if (limiter.isFull()) {
                            // An open connection that seems idle may hold a request that has not been read yet: all
                            // input that has arrived is read before an idle connection is evicted.
                            channel.eventLoop().execute(() -> admit(limiter, protocol, connection, channel));
                        } else {
                            admit(limiter, protocol, connection, channel);
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
                // Netty's acceptor, earlier in the pipeline, pauses for a second: new connections wait in the backlog.
                limitedLog.warn("no connection can be accepted now: {0}", cause.getMessage());
            }
        });
        loop.execute(() -> listeningChannels.add(bound.channel()));
        return (InetSocketAddress) bound.channel().localAddress();
    }

    private void admit(ConnectionLimiter limiter, Protocol protocol, NettyConnection connection, SocketChannel channel) {
        if (!channel.isActive()) {
            return;   // closed before anything was read
        }
        if (!limiter.tryAdmit(protocol, connection::close)) {
            limitedLog.warn("connection from {0} rejected: {1} connections are open, all with open calls",
                    channel.remoteAddress(), Integer.toString(limiter.size()));
            channel.close();
            protocol.closed(CloseReason.LIMIT_REACHED);
            return;
        }
        acceptedConnections.add(connection);
        channel.closeFuture().addListener(closed -> {
            limiter.closed(protocol);
            acceptedConnections.remove(connection);
        });
        track(connection, channel);
        channel.pipeline().addLast(connection);
        connection.activate(channel);
        channel.config().setAutoRead(true);
    }

    private void track(NettyConnection connection, Channel channel) {
        connections.add(connection);
        channel.closeFuture().addListener(closed -> connections.remove(connection));
    }

    /** The number of connections accepted since the start. On the loop's thread. */
    public long acceptedCount() {
        return acceptedCount;
    }

    /** Whether no connection has unsent bytes. On the loop's thread. */
    public boolean hasNoUnsentBytes() {
        return connections.stream().allMatch(connection -> connection.unsentBytes() == 0);
    }

    /** Stops listening, drops further input on accepted connections and closes them gracefully. On the loop's thread. */
    public void closeAcceptedConnections() {
        listeningChannels.forEach(Channel::close);
        List.copyOf(acceptedConnections).forEach(connection -> connection.finishDroppingInput(CloseReason.SHUTDOWN));
    }

    /** Whether all accepted connections are closed. On the loop's thread. */
    public boolean areAcceptedConnectionsClosed() {
        return acceptedConnections.isEmpty();
    }

    @Override
    public void connect(InetSocketAddress address, Duration timeout, Protocol protocol) {
        connect(address, timeout, protocol, MAX_UNSENT_BYTES);
    }

    /** A connector whose connections are closed when more than this many bytes are waiting to be sent. */
    public Connector connector(long maxUnsentBytes) {
        return (address, timeout, protocol) -> connect(address, timeout, protocol, maxUnsentBytes);
    }

    private void connect(InetSocketAddress address, Duration timeout, Protocol protocol, long maxUnsentBytes) {
        NettyConnection connection = new NettyConnection(protocol, maxUnsentBytes, limitedLog);
        Bootstrap client = new Bootstrap().group(loop.netty()).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, timeout.toMillis()))
                .option(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
                .option(ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES))
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        track(connection, channel);
                        channel.pipeline().addLast(connection);
                    }
                });
        loop.execute(() -> client.connect(address).addListener(attempt -> {
            if (!attempt.isSuccess()) {
                protocol.closed(closeReason(attempt.cause()));
            }
        }));
    }

    @Override
    public void send(InetSocketAddress to, byte[] datagram) {
        if (datagramSocket == null) {
            datagramSocket = new Bootstrap().group(loop.netty()).channel(NioDatagramChannel.class)
                    .handler(new ChannelInboundHandlerAdapter()).bind(0);
        }
        datagramSocket.addListener(bound -> datagramSocket.channel()
                .writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), to)));
    }

    private static CloseReason closeReason(Throwable cause) {
        if (cause instanceof ConnectTimeoutException) {
            return CloseReason.CONNECT_TIMED_OUT;
        }
        return cause instanceof ConnectException ? CloseReason.REFUSED : CloseReason.NOT_ATTEMPTED;
    }
}
