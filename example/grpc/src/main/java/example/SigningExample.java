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
import pathlane.standin.GrpcFront;
import pathlane.standin.Processor;

/** An application that checks and signs over the plug-in, with a stand-in server in the same process. */
public final class SigningExample {

    private SigningExample() {}

    /** Makes a few calls, one of them with a retry loop of its own, and says what came of each. */
    public static void main(String[] args) throws Exception {
        ScheduledExecutorService turn = Executors.newSingleThreadScheduledExecutor();
        Server server = server(turn);
        String settings;
        try (InputStream file = SigningExample.class.getResourceAsStream("/settings.json")) {
            settings = new String(file.readAllBytes(), StandardCharsets.UTF_8);
        }

        // The two lines that turn the plug-in on.
        Pathlane pathlane = Pathlane.builder().configuration(settings).build();
        ManagedChannel channel = pathlane.attach(NettyChannelBuilder.forTarget("127.0.0.1:" + server.getPort())
                .usePlaintext()).build();

        byte[] document = "document 7".getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < 3; i++) {
            try {
                long from = System.nanoTime();
                ClientCalls.blockingUnaryCall(channel, GrpcFront.CHECK, CallOptions.DEFAULT, document);
                System.out.println("checked in " + (System.nanoTime() - from) / 1_000_000 + " ms");
            } catch (StatusRuntimeException e) {
                // A refusal is no fault: it tells when to come back.
                System.out.println(e.getStatus() + ", come back after " + e.getTrailers().get(GrpcFront.PUSHBACK) + " ms");
            }
        }
        Iterator<byte[]> session = ClientCalls.blockingServerStreamingCall(channel, GrpcFront.SIGN,
                CallOptions.DEFAULT.withDeadlineAfter(5, TimeUnit.SECONDS), document);
        session.next();
        System.out.println("signing session stands");
        session.hasNext();
        System.out.println("signing session ended");

        CallMark mark = CallMark.create();
        for (int attempt = 1; attempt <= 3; attempt++) {
            try {
                ClientCalls.blockingUnaryCall(channel, GrpcFront.CHECK, CallOptions.DEFAULT
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
        turn.shutdownNow();
    }

    private static Server server(ScheduledExecutorService turn) throws Exception {
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
                var timer = turn.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
                return () -> timer.cancel(false);
            }
        };
        Rules rules = new Rules(0.28, Duration.ofSeconds(13), 3, Duration.ofMillis(1500), Duration.ofMillis(200));
        Processor processor = new Processor(Processor.Model.of(30, rules), time);
        return NettyServerBuilder.forAddress(new InetSocketAddress("127.0.0.1", 0)).addService(
                new GrpcFront("example", processor, time, turn, Duration.ofSeconds(1), null).service()).build().start();
    }
}
