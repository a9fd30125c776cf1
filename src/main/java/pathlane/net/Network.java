package pathlane.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Supplier;
import pathlane.core.ConnectionEnd;
import pathlane.link.Dialer;
import pathlane.link.Protocol;

/** Listens and dials for both fronts, on one event loop. */
public final class Network implements Dialer {

    private static final Logger LOG = System.getLogger("net");
    private static final int BACKLOG = 512;
    private static final int FIRST_READ = 512;
    private static final int USUAL_READ = 2048;
    private static final int LONGEST_READ = 16 * 1024;
    /** Accepted connections at most: the limit is 1,024 descriptors, of which callers hold a third. */
    private static final int MOST_ACCEPTED = 800;

    private final EventLoop loop;
    private int accepted;

    public Network(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Listens on this address only; each connection gets a state machine of its own. Returns
     * the address, with the port that was given out where none was asked for.
     *
     * @throws IllegalArgumentException where the address can't be had
     */
    public InetSocketAddress listen(InetSocketAddress address, Supplier<Protocol> protocols) {
        ServerBootstrap server = new ServerBootstrap().group(loop.netty()).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
                .childOption(ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(FIRST_READ, USUAL_READ, LONGEST_READ))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        if (accepted >= MOST_ACCEPTED) {
                            // Guards the descriptors that session servers and the bus need.
                            LOG.log(Level.WARNING, "connection from {0} turned away: {1} are open",
                                    channel.remoteAddress(), accepted);
                            channel.close();
                            return;
                        }
                        accepted++;
                        channel.closeFuture().addListener(closed -> accepted--);
                        channel.pipeline().addLast(new Driver(protocols.get()));
                    }
                });
        ChannelFuture bound = server.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalArgumentException("can't listen on " + address + ": " + bound.cause().getMessage());
        }
        return (InetSocketAddress) bound.channel().localAddress();
    }

    @Override
    public void dial(InetSocketAddress address, Duration timeout, Protocol protocol) {
        Bootstrap client = new Bootstrap().group(loop.netty()).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, timeout.toMillis()))
                .option(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
                .option(ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(FIRST_READ, USUAL_READ, LONGEST_READ))
                .handler(new Driver(protocol));
        loop.execute(() -> client.connect(address).addListener(done -> {
            if (!done.isSuccess()) {
                protocol.closed(end(done.cause()));
            }
        }));
    }

    private static ConnectionEnd end(Throwable cause) {
        if (cause instanceof ConnectTimeoutException) {
            return ConnectionEnd.DIAL_TIMED_OUT;
        }
        return cause instanceof ConnectException ? ConnectionEnd.REFUSED : ConnectionEnd.NOT_DIALLED;
    }
}
