package pathlane.grpc;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2FrameCodec;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2FrameStream;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;

/** An HTTP/2 server on loopback that takes the next scripted action for each stream, and answers when there is none left. */
final class ScriptedHttp2Server implements AutoCloseable {

    /** The actions for a stream. */
    enum Action {
        ANSWER, REFUSE_STREAM, RESET_CANCEL, RESET_INTERNAL, GO_AWAY_BEFORE_IT, DROP, HEADERS_THEN_DROP,
        ENHANCE_CALM, SILENCE
    }

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Queue<Action> script = new ConcurrentLinkedQueue<>();
    private final Channel channel;
    /** The times at which each stream's request was complete, by System.nanoTime(). */
    final List<Long> arrivals = new CopyOnWriteArrayList<>();

    ScriptedHttp2Server(Action... actions) {
        script.addAll(List.of(actions));
        channel = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel child) {
                        child.pipeline().addLast(Http2FrameCodecBuilder.forServer().build(), new StreamHandler());
                    }
                }).bind(new InetSocketAddress("127.0.0.1", 0)).syncUninterruptibly().channel();
    }

    String target() {
        return "127.0.0.1:" + ((InetSocketAddress) channel.localAddress()).getPort();
    }

    @Override
    public void close() {
        channel.close().syncUninterruptibly();
        group.shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.SECONDS);
    }

    private final class StreamHandler extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext context, Object frame) {
            try {
                if (frame instanceof Http2DataFrame data && data.isEndStream()) {
                    processRequest(context, data.stream());
                } else if (frame instanceof Http2HeadersFrame headers && headers.isEndStream()) {
                    processRequest(context, headers.stream());
                }
            } finally {
                ReferenceCountUtil.release(frame);
            }
        }

        private void processRequest(ChannelHandlerContext context, Http2FrameStream stream) {
            arrivals.add(System.nanoTime());
            Action action = script.isEmpty() ? Action.ANSWER : script.poll();
            switch (action) {
                case ANSWER -> answer(context, stream);
                case REFUSE_STREAM -> reset(context, stream, Http2Error.REFUSED_STREAM);
                case RESET_CANCEL -> reset(context, stream, Http2Error.CANCEL);
                case RESET_INTERNAL -> reset(context, stream, Http2Error.INTERNAL_ERROR);
                case ENHANCE_CALM -> reset(context, stream, Http2Error.ENHANCE_YOUR_CALM);
                case GO_AWAY_BEFORE_IT -> {
                    // Last stream id 0: no stream was processed. The codec's GOAWAY frame can't express it, its writer can.
                    Http2FrameCodec codec = context.pipeline().get(Http2FrameCodec.class);
                    ChannelHandlerContext below = context.pipeline().context(codec);
                    codec.encoder().frameWriter().writeGoAway(below, 0, Http2Error.NO_ERROR.code(),
                            Unpooled.EMPTY_BUFFER, below.newPromise());
                    below.flush();
                    context.close();
                }
                case DROP -> context.close();
                case HEADERS_THEN_DROP -> context.writeAndFlush(new DefaultHttp2HeadersFrame(ok(), false).stream(stream))
                        .addListener(done -> context.close());
                case SILENCE -> {}
            }
        }

        private void reset(ChannelHandlerContext context, Http2FrameStream stream, Http2Error error) {
            context.writeAndFlush(new DefaultHttp2ResetFrame(error).stream(stream));
        }

        private Http2Headers ok() {
            return new DefaultHttp2Headers().status("200").add("content-type", "application/grpc");
        }

        private void answer(ChannelHandlerContext context, Http2FrameStream stream) {
            ByteBuf message = Unpooled.buffer().writeByte(0).writeInt(2).writeBytes(new byte[] {'o', 'k'});
            context.write(new DefaultHttp2HeadersFrame(ok(), false).stream(stream));
            context.write(new DefaultHttp2DataFrame(message, false).stream(stream));
            context.writeAndFlush(new DefaultHttp2HeadersFrame(new DefaultHttp2Headers().add("grpc-status", "0"), true)
                    .stream(stream));
        }
    }
}
