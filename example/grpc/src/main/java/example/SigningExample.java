package example;

import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.Server;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.ClientCalls;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import pathlane.config.Settings.Rules;
import pathlane.core.Scheduler;
import pathlane.grpc.CallMark;
import pathlane.grpc.Pathlane;
import pathlane.grpc.PathlaneOptions;
import pathlane.standin.GrpcSessionServer;
import pathlane.standin.Processor;

/** An example application that makes check and signing calls through the plug-in, to a stand-in server in its process. */
public final class SigningExample {

    private SigningExample() {}

    /** Makes a few calls, one of them with its own retry loop, and prints the result of each. */
    public static void main(String[] args) throws Exception {
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
        Server server = server(executor);
        String settings;
        try (InputStream file = SigningExample.class.getResourceAsStream("/settings.json")) {
            settings = new String(file.readAllBytes(), StandardCharsets.UTF_8);
        }

        // These two statements enable the plug-in.
        Pathlane pathlane = Pathlane.builder().configuration(settings).build();
        ManagedChannel channel = pathlane.attach(NettyChannelBuilder.forTarget("127.0.0.1:" + server.getPort())
                .usePlaintext()).build();

        byte[] document = "document 7".getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < 3; i++) {
            try {
                long startNanos = System.nanoTime();
                ClientCalls.blockingUnaryCall(channel, GrpcSessionServer.CHECK, CallOptions.DEFAULT, document);
                System.out.println("checked in " + (System.nanoTime() - startNanos) / 1_000_000 + " ms");
            } catch (StatusRuntimeException e) {
                // A rejection is an expected answer: its trailers say when to retry.
                System.out
                        .println(e.getStatus() + ", retry after " + e.getTrailers().get(GrpcSessionServer.PUSHBACK) + " ms");
            }
        }
        Iterator<byte[]> session = ClientCalls.blockingServerStreamingCall(channel, GrpcSessionServer.SIGN,
                CallOptions.DEFAULT.withDeadlineAfter(5, TimeUnit.SECONDS), document);
        session.next();
        System.out.println("signing session established");
        session.hasNext();
        System.out.println("signing session ended");

        CallMark mark = CallMark.create();
        for (int attempt = 1; attempt <= 3; attempt++) {
            try {
                ClientCalls.blockingUnaryCall(channel, GrpcSessionServer.CHECK, CallOptions.DEFAULT
                        .withOption(PathlaneOptions.MARK, mark).withDeadlineAfter(2, TimeUnit.SECONDS), document);
                System.out.println("checked with a mark");
                break;
            } catch (StatusRuntimeException e) {
                System.out.println("try " + attempt + ": " + e.getStatus());
            }
        }
        System.out.println(pathlane.tries() + " " + pathlane.counters().summary());
        channel.shutdownNow();
        pathlane.close();
        server.shutdownNow();
        executor.shutdownNow();
    }

    private static Server server(ScheduledExecutorService executor) throws Exception {
        Scheduler time = new Scheduler() {
            @Override
            public Instant now() {
                return Instant.now();
            }

            @Override
            public Duration lag() {
                return Duration.ZERO;
            }

            @Override
            public Timer after(Duration delay, Runnable task) {
                var timer = executor.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
                return () -> timer.cancel(false);
            }
        };
        Rules rules = new Rules(0.28, Duration.ofSeconds(13), 3, Duration.ofMillis(1500), Duration.ofMillis(200));
        Processor processor = new Processor(Processor.Model.of(30, rules), time);
        return NettyServerBuilder.forAddress(new InetSocketAddress("127.0.0.1", 0)).addService(
                new GrpcSessionServer("example", processor, time, executor, Duration.ofSeconds(1), null).service()).build()
                .start();
    }
}
