package pathlane.core;

import java.time.Duration;
import java.util.List;
import pathlane.decision.Outcome;

/** A client port that appends what it is asked to send to a list. */
final class RecordingClient implements ClientPort {

    private final List<String> received;

    RecordingClient(List<String> received) {
        this.received = received;
    }

    @Override
    public void answer(String callId, byte[] description) {
        received.add("answer " + callId);
    }

    @Override
    public void reject(String callId, Duration retryAfter) {
        received.add("reject " + callId);
    }

    @Override
    public void fail(String callId) {
        received.add("fail " + callId);
    }

    @Override
    public void release(String callId, Outcome outcome) {
        received.add("release " + callId);
    }
}
