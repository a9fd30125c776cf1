package pathlane.grpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.Server;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.ClientCalls;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pathlane.core.Counters.Name;
import pathlane.grpc.ScriptedHttp2Server.Action;
import pathlane.standin.GrpcSessionServer;
import pathlane.standin.Processor;

/** Real sockets on loopback: the ways in which HTTP/2 ends a stream, and a GOAWAY during a burst. */
class SocketTest {

    private static byte[] call(ManagedChannel channel, CallOptions options) {
        return ClientCalls.blockingUnaryCall(channel, GrpcSessionServer.CHECK, options,
                "one".getBytes(StandardCharsets.UTF_8));
    }

    /** The first stream ends in the given way, the controller makes one more attempt, and that one is answered. */
    @ParameterizedTest
    @CsvSource({"REFUSE_STREAM, ATTEMPTS_UNREACHABLE", "GO_AWAY_BEFORE_IT, ATTEMPTS_UNREACHABLE",
            "RESET_CANCEL, ATTEMPTS_RESET", "RESET_INTERNAL, ATTEMPTS_RESET", "DROP, ATTEMPTS_RESET",
            "HEADERS_THEN_DROP, ATTEMPTS_RESET", "ENHANCE_CALM, ATTEMPTS_IN_ERROR"})
    void endedStreamIsCountedAndRetriedByControllerOnly(Action act, Name counted) {
        try (ScriptedHttp2Server server = new ScriptedHttp2Server(act);
                Pathlane pathlane = Pathlane.builder().configuration(PluginHarness.SETTINGS).build()) {
            ManagedChannel channel = pathlane.attach(NettyChannelBuilder.forTarget(server.target()).usePlaintext())
                    .build();
            try {
                byte[] answer = call(channel, CallOptions.DEFAULT);
                assertEquals("ok", new String(answer, StandardCharsets.UTF_8));
                assertEquals(1, pathlane.counters().value(counted), pathlane.counters().summary());
                assertEquals(2, pathlane.counters().value(Name.ATTEMPTS), pathlane.counters().summary());
                assertEquals(2, server.arrivals.size());
                if (counted == Name.ATTEMPTS_RESET) {
                    long gap = (server.arrivals.get(1) - server.arrivals.get(0)) / 1_000_000;
                    assertTrue(gap >= 200, "second attempt " + gap + " ms after a lost one");
                }
            } finally {
                channel.shutdownNow();
            }
        }
    }

    @Test
    void unansweredCallEndsByItsDeadline() {
        try (ScriptedHttp2Server server = new ScriptedHttp2Server(Action.SILENCE, Action.SILENCE, Action.SILENCE);
                Pathlane pathlane = Pathlane.builder().configuration(PluginHarness.SETTINGS).build()) {
            ManagedChannel channel = pathlane.attach(NettyChannelBuilder.forTarget(server.target()).usePlaintext())
                    .build();
            try {
                call(channel, CallOptions.DEFAULT.withDeadlineAfter(700, TimeUnit.MILLISECONDS));
            } catch (StatusRuntimeException e) {
                assertEquals(Status.Code.DEADLINE_EXCEEDED, e.getStatus().getCode(), e.toString());
                assertEquals(1, server.arrivals.size());
                return;
            } finally {
                channel.shutdownNow();
            }
            throw new AssertionError("the call was answered");
        }
    }

    @Test
    void callWithoutListeningServerIsUnavailable() {
        try (Pathlane pathlane = Pathlane.builder().configuration(PluginHarness.SETTINGS).build()) {
            ManagedChannel channel = pathlane.attach(NettyChannelBuilder.forTarget("127.0.0.1:1").usePlaintext())
                    .build();
            try {
                call(channel, CallOptions.DEFAULT);
            } catch (StatusRuntimeException e) {
                assertEquals(Status.Code.UNAVAILABLE, e.getStatus().getCode(), e.toString());
                assertEquals(pathlane.counters().value(Name.ATTEMPTS),
                        pathlane.counters().value(Name.ATTEMPTS_UNREACHABLE));
                return;
            } finally {
                channel.shutdownNow();
            }
            throw new AssertionError("the call was answered");
        }
    }

    /** One of two servers shuts down gracefully (two GOAWAYs) while four threads make calls. */
    @Test
    void goAwayDuringBurstLosesNoAnswerAndBreaksNoRule() throws Exception {
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
        ExecutorService clients = Executors.newFixedThreadPool(4);
        Pathlane pathlane = Pathlane.builder().configuration(PluginHarness.SETTINGS).build();
        pathlane.standin.AttemptRuleChecker rules = new pathlane.standin.AttemptRuleChecker(200);
        ExecutorScheduler time = new ExecutorScheduler(executor, executor);
        List<Server> servers = new ArrayList<>();
        ManagedChannel channel = null;
        try {
            for (String name : List.of("a", "b")) {
                Processor processor = new Processor(Processor.Model.of(2000,
                        PluginConfig.read(PluginHarness.SETTINGS).settings().rules()), time);
                servers.add(NettyServerBuilder.forAddress(new InetSocketAddress("127.0.0.1", 0))
                        .addService(new GrpcSessionServer(name, processor, time, executor, Duration.ofSeconds(1), rules)
                                .service())
                        .build().start());
            }
            List<io.grpc.EquivalentAddressGroup> groups = new ArrayList<>();
            servers.forEach(server -> groups.add(new io.grpc.EquivalentAddressGroup(
                    new InetSocketAddress("127.0.0.1", server.getPort()))));
            FixedResolver resolver = new FixedResolver("fixed", groups);
            io.grpc.NameResolverRegistry.getDefaultRegistry().register(resolver);
            channel = pathlane.attach(NettyChannelBuilder.forTarget("fixed:///pool").usePlaintext()).build();
            ManagedChannel callChannel = channel;
            CountDownLatch halfDone = new CountDownLatch(200);
            List<Future<Integer>> answered = new ArrayList<>();
            for (int client = 0; client < 4; client++) {
                int clientIndex = client;
                answered.add(clients.submit(() -> {
                    int count = 0;
                    for (int i = 0; i < 100; i++) {
                        io.grpc.Metadata headers = new io.grpc.Metadata();
                        headers.put(GrpcSessionServer.CALL, clientIndex + "-" + i);
                        ClientCalls.blockingUnaryCall(io.grpc.ClientInterceptors.intercept(callChannel,
                                io.grpc.stub.MetadataUtils.newAttachHeadersInterceptor(headers)), GrpcSessionServer.CHECK,
                                CallOptions.DEFAULT, (clientIndex + "-" + i).getBytes(StandardCharsets.UTF_8));
                        count++;
                        halfDone.countDown();
                    }
                    return count;
                }));
            }
            halfDone.await();
            servers.get(0).shutdown();
            for (Future<Integer> count : answered) {
                assertEquals(100, count.get(60, TimeUnit.SECONDS));
            }
            assertEquals(List.of(), executor.submit(rules::violations).get());
            io.grpc.NameResolverRegistry.getDefaultRegistry().deregister(resolver);
        } finally {
            if (channel != null) {
                channel.shutdownNow();
            }
            servers.forEach(Server::shutdownNow);
            clients.shutdownNow();
            executor.shutdownNow();
            pathlane.close();
        }
    }
}
