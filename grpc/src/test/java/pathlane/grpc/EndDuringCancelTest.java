package pathlane.grpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import pathlane.core.Counters.Name;
import pathlane.grpc.PluginHarness.Response;
import pathlane.standin.GrpcSessionServer;

/**
 * An attempt's stream ends without an answer while the engine is busy, and the call ends before the engine has handled that
 * end. The ended attempt was taken for an answered one once, and the call never got its final answer.
 */
class EndDuringCancelTest {

    /** Real time: longer than the test, so that only the controller's timer in virtual time ends the call. */
    private static final int DEADLINE_MS = 8_000;

    /** Runs a task in the engine while the stream of an attempt ends; the engine handles that end after the task. */
    private static void whileStreamEnds(PluginHarness harness, Runnable task) {
        harness.pathlane.engine().execute(() -> {
            harness.processors.get("a").stop();
            task.run();
        });
    }

    private static Response callOnSilentServer(PluginHarness harness, ManagedChannel channel) {
        harness.processors.get("a").fallSilent();
        Response response = harness.call(channel, GrpcSessionServer.CHECK,
                CallOptions.DEFAULT.withDeadlineAfter(DEADLINE_MS, TimeUnit.MILLISECONDS), "one");
        harness.time.advance(100);
        assertEquals(1, harness.pathlane.counters().value(Name.ATTEMPTS));
        assertNull(response.code());
        return response;
    }

    @Test
    void callIsAnsweredWhenItsAttemptEndsJustBeforeTheDeadline() {
        try (PluginHarness harness = new PluginHarness("a")) {
            Response response = callOnSilentServer(harness, harness.channel());
            whileStreamEnds(harness, () -> harness.time.advance(DEADLINE_MS));
            harness.time.advance(Duration.ofSeconds(1).toMillis());
            assertEquals(1, response.closeCount);
            assertEquals(Status.Code.DEADLINE_EXCEEDED, response.code());
            assertEquals(1, harness.pathlane.counters().value(Name.ATTEMPTS));
        }
    }

    @Test
    void callIsCancelledWhenItsAttemptEndsBeforeTheCancellationIsHandled() {
        try (PluginHarness harness = new PluginHarness("a")) {
            Response response = callOnSilentServer(harness, harness.channel());
            harness.pathlane.engine().execute(() -> {
                response.call.cancel("not needed any more", null);   // queued ahead of the end of the stream
                harness.processors.get("a").stop();
            });
            harness.time.advance(DEADLINE_MS);
            assertEquals(1, response.closeCount);
            assertEquals(Status.Code.CANCELLED, response.code());
            assertEquals(1, harness.pathlane.counters().value(Name.ATTEMPTS));
        }
    }
}
