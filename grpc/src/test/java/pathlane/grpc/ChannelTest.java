package pathlane.grpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.Gson;
import io.grpc.CallOptions;
import io.grpc.Context;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import pathlane.core.Counters.Name;
import pathlane.grpc.PluginHarness.Response;
import pathlane.standin.GrpcSessionServer;
import pathlane.standin.Processor;

/** Channels with the plug-in: server lists, configuration, sharing, gRPC's own retries and shutdown. */
class ChannelTest {

    @SuppressWarnings("unchecked")
    private static Map<String, ?> json(String text) {
        return new Gson().fromJson(text, Map.class);
    }

    @Test
    void silentServerDelaysOnlyItsOwnCalls() {
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            ManagedChannel channel = harness.channel();
            List<Response> streams = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                streams.add(harness.sign(channel, "s" + i));
                harness.time.advance(100);
            }
            harness.processors.get("a").fallSilent();
            List<Response> calls = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                calls.add(harness.check(channel, "n" + i));
                harness.time.advance(100);
            }
            harness.processors.get("a").resume();
            harness.time.advance(20_000);
            assertTrue(streams.stream().allMatch(response -> response.closeCount == 1 && response.messages.size() == 1));
            assertTrue(calls.stream().allMatch(response -> response.closeCount == 1));
            long answered = calls.stream().filter(response -> response.status.isOk()).count();
            assertTrue(answered >= 55, "answered: " + answered);
            assertEquals(List.of(), harness.rules.violations());
        }
    }

    @Test
    void emptyListStopsCallsAndColdServersAreNotOverloaded() {
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            ManagedChannel channel = harness.channel();
            List<Response> calls = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                calls.add(harness.check(channel, "n" + i));
                harness.time.advance(40);
            }
            harness.time.advance(1000);
            long before = harness.processors.values().stream().mapToLong(Processor::requests).sum();
            harness.setListedServers();
            for (int i = 0; i < 100; i++) {
                calls.add(harness.check(channel, "e" + i));
                harness.time.advance(40);
            }
            assertEquals(before, harness.processors.values().stream().mapToLong(Processor::requests).sum(),
                    "sent to an unlisted server");
            harness.addServer("c").startCold();
            harness.addServer("d").startCold();
            harness.setListedServers("c", "d");
            for (int i = 0; i < 600; i++) {
                calls.add(harness.check(channel, "c" + i));
                harness.time.advance(25);
            }
            harness.time.advance(10_000);
            assertTrue(calls.stream().allMatch(response -> response.closeCount == 1));
            for (String cold : List.of("c", "d")) {
                Processor processor = harness.processors.get(cold);
                assertTrue(!processor.hasCrashed() && processor.maxColdBudgetUse() < 1,
                        cold + ": " + processor.maxColdBudgetUse());
                assertTrue(processor.answers() > 100, cold + " answered " + processor.answers());
            }
            assertEquals(List.of(), harness.rules.violations());
        }
    }

    @Test
    void streamContinuesAfterServerIsUnlisted() {
        try (PluginHarness harness = new PluginHarness("a")) {
            ManagedChannel channel = harness.channel();
            Response response = harness.sign(channel, "one");
            harness.time.advance(200);
            harness.addServer("b");
            harness.setListedServers("b");
            for (int i = 0; i < 10; i++) {
                harness.check(channel, "n" + i);
                harness.time.advance(100);
            }
            assertEquals(1, harness.processors.get("a").requests());
            assertEquals(0, response.closeCount);
            harness.time.advance(8000);
            assertEquals(Status.Code.OK, response.code());
            harness.setListedServers("a");
            Response back = harness.check(channel, "back");
            harness.time.advance(200);
            assertEquals(Status.Code.OK, back.code());
            assertEquals(2, harness.processors.get("a").requests());
        }
    }

    @Test
    void emptyFirstListFailsCallsUnlessTheyWaitForReady() {
        try (PluginHarness harness = new PluginHarness()) {
            ManagedChannel channel = harness.channel();
            Response immediate = harness.check(channel, "now");
            assertEquals(Status.Code.UNAVAILABLE, immediate.code());
            Response waiting =
                    harness.call(channel, GrpcSessionServer.CHECK, CallOptions.DEFAULT.withWaitForReady(), "waits");
            assertEquals(0, waiting.closeCount);
            harness.addServer("a");
            harness.setListedServers("a");
            harness.time.advance(100);
            assertEquals(Status.Code.OK, waiting.code());
        }
    }

    @Test
    void settingsAreReadFromServiceConfig() {
        Map<String, Object> config = new HashMap<>(json(PluginHarness.SETTINGS));
        config.put("plug-in", json("{\"classes\": {\"signing.Sessions\": \"deadline-sign\"}}"));
        Map<String, ?> service = Map.of("loadBalancingConfig", List.of(Map.of("pathlane", config)));
        try (PluginHarness harness = new PluginHarness(Pathlane.builder(), "a")) {
            ManagedChannel channel =
                    harness.closeWithHarness(harness.pathlane.attach(harness.builder("pool"), service).build());
            Response response = harness.check(channel, "one");
            harness.time.advance(100);
            assertEquals(Status.Code.OK, response.code());
            assertEquals(1, harness.pathlane.engine().config().classOf("signing.Sessions/Check", "signing.Sessions", null));
        }
    }

    @Test
    void channelWithoutSettingsFailsCalls() {
        try (PluginHarness harness = new PluginHarness(Pathlane.builder(), "a")) {
            Response response = harness.check(harness.channel(), "one");
            assertEquals(Status.Code.INTERNAL, response.code());
            assertTrue(response.status.getDescription().contains("has no settings"), response.status.toString());
        }
    }

    @Test
    void invalidConfigIsRejectedWithClearMessage() {
        PathlaneLoadBalancerProvider provider = new PathlaneLoadBalancerProvider();
        Status error = provider.parseLoadBalancingPolicyConfig(json(
                PluginHarness.SETTINGS.replace("\"cold-ms\": 13000,", ""))).getError();
        assertEquals("invalid config for the policy 'pathlane': invalid setting: cold-ms",
                error.getDescription());
        assertThrows(IllegalArgumentException.class, () -> Pathlane.builder().configuration("no json"));
        assertThrows(IllegalArgumentException.class,
                () -> Pathlane.builder().configuration(PluginHarness.SETTINGS).defaultClass("no-such").build());
        assertThrows(IllegalArgumentException.class, () -> Pathlane.builder().defaultClass("a").build());
    }

    @Test
    void policyWithoutPluginFailsCalls() {
        try (PluginHarness harness = new PluginHarness("a")) {
            ManagedChannel bare =
                    harness.closeWithHarness(harness.builder("pool").defaultLoadBalancingPolicy("pathlane").build());
            Response response = harness.check(bare, "one");
            assertEquals(Status.Code.INTERNAL, response.code());
            assertTrue(response.status.getDescription().contains("Pathlane.attach"), response.status.toString());
        }
    }

    @Test
    void hedgingPolicyIsRejectedWhenAttaching() {
        Map<String, ?> hedging = json("""
                {"methodConfig": [{"name": [{"service": "signing.Sessions"}], "hedgingPolicy":
                 {"maxAttempts": 3, "hedgingDelay": "0.05s", "nonFatalStatusCodes": ["UNAVAILABLE"]}}]}""");
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            assertThrows(IllegalArgumentException.class,
                    () -> harness.pathlane.attach(harness.builder("pool"), hedging));
        }
    }

    /** Creates a hedged stream for each call, as gRPC does if a service config has a hedgingPolicy. */
    private static final class Hedger implements io.grpc.ClientInterceptor {
        @Override
        public <Q, R> io.grpc.ClientCall<Q, R> interceptCall(io.grpc.MethodDescriptor<Q, R> method, CallOptions options,
                io.grpc.Channel next) {
            return new io.grpc.ForwardingClientCall.SimpleForwardingClientCall<Q, R>(next.newCall(method, options)) {
                @Override
                public void halfClose() {
                    super.halfClose();
                    options.getStreamTracerFactories().forEach(factory -> factory.newClientStreamTracer(
                            io.grpc.ClientStreamTracer.StreamInfo.newBuilder().setIsHedging(true).build(),
                            new io.grpc.Metadata()));
                }
            };
        }
    }

    @Test
    void hedgedStreamIsDroppedAndLaterCallsFail() {
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            ManagedChannel hedging =
                    harness.closeWithHarness(harness.pathlane.attach(harness.builder("pool").intercept(new Hedger()))
                            .build());
            Response first = harness.check(hedging, "one");
            Response second = harness.check(hedging, "two");
            assertEquals(Status.Code.FAILED_PRECONDITION, second.code());
            assertTrue(second.status.getDescription().contains("hedgingPolicy"), second.status.toString());
            harness.time.advance(1000);
            assertEquals(Status.Code.OK, first.code());
            assertEquals(1, harness.rules.attempts("one"));
            assertEquals(0, harness.rules.attempts("two"));
        }
    }

    @Test
    void retryPolicyMakesNoAttempt() {
        Map<String, ?> retrying = json("""
                {"methodConfig": [{"name": [{"service": "signing.Sessions"}], "retryPolicy":
                 {"maxAttempts": 5, "initialBackoff": "0.01s", "maxBackoff": "0.01s", "backoffMultiplier": 1,
                  "retryableStatusCodes": ["INTERNAL", "NOT_FOUND"]}}]}""");
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            harness.fronts.values().forEach(front -> front.endCallsWith(Status.NOT_FOUND));
            ManagedChannel channel =
                    harness.closeWithHarness(harness.pathlane.attach(harness.builder("pool"), retrying).build());
            Response response = harness.check(channel, "one");
            harness.time.advance(2000);
            assertEquals(Status.Code.NOT_FOUND, response.code());
            assertEquals(1, harness.rules.attempts("one"));
        }
    }

    @Test
    void channelsShareControllerAndOtherTargetIsRejected() {
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            ManagedChannel firstChannel = harness.channel();
            ManagedChannel secondChannel = harness.channel();
            Response first = harness.check(firstChannel, "one");
            Response second = harness.check(secondChannel, "two");
            harness.time.advance(200);
            assertEquals(Status.Code.OK, first.code());
            assertEquals(Status.Code.OK, second.code());
            assertEquals(2, harness.pathlane.counters().value(Name.ESTABLISHED));
            ManagedChannel otherTarget =
                    harness.closeWithHarness(harness.pathlane.attach(harness.builder("elsewhere")).build());
            Response rejected = harness.check(otherTarget, "three");
            assertEquals(Status.Code.INTERNAL, rejected.code());
            assertTrue(rejected.status.getDescription().contains("build another"), rejected.status.toString());
            firstChannel.shutdownNow();
            Response third = harness.check(secondChannel, "four");
            harness.time.advance(200);
            assertEquals(Status.Code.OK, third.code());
        }
    }

    @Test
    void shutDownChannelRejectsNewCallsAndCompletesOpenOnes() {
        try (PluginHarness harness = new PluginHarness("a")) {
            ManagedChannel channel = harness.channel();
            Response established = harness.sign(channel, "established");
            harness.time.advance(100);
            Response open = harness.check(channel, "open");
            channel.shutdown();
            Response late = harness.check(channel, "late");
            assertEquals(Status.Code.UNAVAILABLE, late.code());
            harness.time.advance(9000);
            assertEquals(Status.Code.OK, open.code());
            assertEquals(Status.Code.OK, established.code());
            assertEquals(0, harness.rules.attempts("late"));
            assertTrue(channel.isTerminated());
        }
    }

    @Test
    void closedPluginEndsOpenCallsAndKeepsStreams() {
        try (PluginHarness harness = new PluginHarness("a")) {
            ManagedChannel channel = harness.channel();
            Response established = harness.sign(channel, "established");
            harness.time.advance(100);
            Response open = harness.check(channel, "open");
            harness.pathlane.close();
            assertEquals(Status.Code.UNAVAILABLE, open.code());
            assertEquals(Status.Code.UNAVAILABLE, harness.check(channel, "late").code());
            harness.time.advance(9000);
            assertEquals(Status.Code.OK, established.code());
            assertEquals(1, open.closeCount);
        }
    }

    @Test
    void cancelledContextCancelsCall() {
        try (PluginHarness harness = new PluginHarness("a")) {
            ManagedChannel channel = harness.channel();
            harness.processors.get("a").fallSilent();
            Context.CancellableContext context = Context.current().withCancellation();
            Response[] response = new Response[1];
            context.run(() -> response[0] = harness.check(channel, "one"));
            harness.time.advance(100);
            context.cancel(null);
            assertEquals(Status.Code.CANCELLED, response[0].code());
            assertEquals(1, harness.pathlane.counters().value(Name.GIVEN_UP_BY_CLIENT));
            assertEquals(0, harness.pathlane.engine().controller().openCalls());
        }
    }

    @Test
    void idleChannelServesCallsAgain() {
        try (PluginHarness harness = new PluginHarness("a", "b")) {
            ManagedChannel channel = harness.channel();
            harness.check(channel, "one");
            harness.time.advance(100);
            channel.enterIdle();
            harness.time.advance(20_000);
            Response again = harness.check(channel, "two");
            harness.time.advance(100);
            assertEquals(Status.Code.OK, again.code());
        }
    }

    @Test
    void providersAreRegistered() {
        assertTrue(io.grpc.LoadBalancerRegistry.getDefaultRegistry()
                .getProvider("pathlane") instanceof PathlaneLoadBalancerProvider);
        assertTrue(io.grpc.NameResolverRegistry.getDefaultRegistry()
                .getProviderForScheme("pathlane-bus") instanceof BusNameResolverProvider);
        assertEquals("dns", io.grpc.NameResolverRegistry.getDefaultRegistry().getDefaultScheme());
    }
}
