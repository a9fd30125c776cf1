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

/** Late messages of a server that was removed from the server list must not affect a call that waits for another server. */
class LateAnswerTest {

    private static final Duration DEADLINE = Duration.ofSeconds(9);

    private final List<String> received = new ArrayList<>();

    private final class RecordingServerPort implements ServerPort {
        @Override
        public void sendRequest(CallRequest request, Duration timeout, boolean mayHaveRun) {
            received.add("request " + request.id());
        }

        @Override
        public void cancel(String callId) {}

        @Override
        public void release(String callId, Outcome outcome, byte[] content) {}

        @Override
        public void drain() {}

        @Override
        public void close() {}
    }

    @Test
    void callBetweenAttemptsIsNotAnsweredByRemovedServer() {
        Settings settings = new Settings(List.of(new Settings.CallClass("check", Duration.ofMillis(1500), DEADLINE, 1, 0, 1,
                true, List.of())), new Settings.Rules(0.28, Duration.ofSeconds(13), 3, Duration.ofMillis(1500),
                        Duration.ofMillis(200)),
                1, 6, Duration.ofMillis(5), Duration.ZERO, true, false, -1,
                Duration.ofMillis(500), DEADLINE, Duration.ZERO, Optional.empty());
        CallController controller =
                new CallController(settings, 7, new FrozenScheduler(), endpoint -> new RecordingServerPort());
        RecordingClient client = new RecordingClient(received);
        controller.clientConnected(client);
        controller.updateServers(true,
                List.of(new ServerEndpoint(1, new InetSocketAddress("127.0.0.1", 1), ServerStatus.RUNNING, 0, 1,
                        Instant.EPOCH)));
        controller.submit(new CallRequest("a", 0, "n", DEADLINE, -1, new byte[0]), client);
        controller.serverReleased(1, "a", Outcome.REJECTED, Duration.ZERO);
        controller.updateServers(true, List.of());
        controller.serverAnswered(1, "a", new byte[0]);
        controller.serverReleased(1, "a", Outcome.COMPLETED, Duration.ZERO);
        assertEquals(List.of("request a"), received);
        assertEquals(1, controller.openCalls());
        assertEquals(0, controller.establishedCalls());
    }
}
