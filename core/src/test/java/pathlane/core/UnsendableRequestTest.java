package pathlane.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import pathlane.config.Settings;
import pathlane.decision.Outcome;
import pathlane.decision.ServerStatus;

/**
 * A request whose sending throws an unexpected exception must end its own call alone. The exception once passed through the
 * policy: it ended whichever connection had caused the decision, and waiting calls were left out of all later decisions.
 */
class UnsendableRequestTest {

    private static final Duration DEADLINE = Duration.ofSeconds(9);
    private static final String UNSENDABLE = "unsendable";

    private final List<String> received = new ArrayList<>();

    private final class ThrowingServerPort implements ServerPort {
        @Override
        public void sendRequest(CallRequest request, Duration timeout, boolean mayHaveRun) {
            if (request.id().equals(UNSENDABLE)) {
                throw new IllegalStateException("the request can't be encoded");
            }
            received.add("request " + request.id());
        }

        @Override
        public void cancel(String callId) {
            received.add("cancel " + callId);
        }

        @Override
        public void release(String callId, Outcome outcome, byte[] content) {}

        @Override
        public void drain() {}

        @Override
        public void close() {}
    }

    @Test
    void requestThatCannotBeSentFailsItsOwnCallAlone() {
        Settings settings = new Settings(List.of(new Settings.CallClass("check", Duration.ofMillis(1500), DEADLINE, 1, 0, 1,
                true, List.of())), new Settings.Rules(0.28, Duration.ofSeconds(13), 3, Duration.ofMillis(1500),
                        Duration.ofMillis(200)),
                1, 6, Duration.ofMillis(5), Duration.ZERO, true, false, -1,
                Duration.ofMillis(500), DEADLINE, Duration.ZERO, Optional.empty());
        CallController controller =
                new CallController(settings, 7, new FrozenScheduler(), endpoint -> new ThrowingServerPort());
        RecordingClient client = new RecordingClient(received);
        controller.clientConnected(client);
        // All of them wait for a server and are decided together when the list brings one.
        List.of("first", UNSENDABLE, "last").forEach(
                id -> controller.submit(new CallRequest(id, 0, id, DEADLINE, -1, new byte[0]), client));
        controller.updateServers(true,
                List.of(new ServerEndpoint(1, new InetSocketAddress("127.0.0.1", 1), ServerStatus.RUNNING, 0, 1,
                        Instant.EPOCH)));
        assertEquals(List.of("request first", "cancel " + UNSENDABLE, "fail " + UNSENDABLE, "request last"), received);
        assertEquals(2, controller.openCalls());
        assertEquals(1, controller.counters().value(Counters.Name.INTERNAL_ERRORS));
        assertEquals(1, controller.counters().value(Counters.Name.FAILED));
    }
}
