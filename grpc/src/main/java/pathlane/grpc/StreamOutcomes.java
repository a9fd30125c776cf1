package pathlane.grpc;

import io.grpc.Metadata;
import io.grpc.Status;
import java.time.Duration;
import java.util.Optional;
import pathlane.decision.Outcome;

/** Maps gRPC statuses and the ways in which a stream ends to outcomes. No other class makes this mapping. */
final class StreamOutcomes {

    /** The retry delay set by a server that rejects a call, as defined by the gRPC retry design (gRFC A6). */
    static final Metadata.Key<String> PUSHBACK =
            Metadata.Key.of("grpc-retry-pushback-ms", Metadata.ASCII_STRING_MARSHALLER);

    /**
     * How a stream ended.
     *
     * @param fromServer whether the status came in the server's trailers; otherwise it was generated locally
     * @param neverRan whether no server has processed it: it was not sent, was refused (REFUSED_STREAM), or came after the
     *                 last stream that a GOAWAY names
     * @param pushback the unparsed value of {@code grpc-retry-pushback-ms} in the trailers
     */
    record StreamEnd(Status.Code code, boolean fromServer, boolean neverRan, Optional<String> pushback) {}

    private StreamOutcomes() {}

    /** Maps the end of an attempt that was not established. COMPLETED means that the status is the server's final answer. */
    static Outcome ofAttempt(StreamEnd end) {
        if (end.neverRan()) {
            return Outcome.UNREACHABLE;
        }
        if (end.fromServer() && forbidsRetry(end)) {
            return Outcome.COMPLETED;
        }
        return switch (end.code()) {
            case OK -> Outcome.COMPLETED;
            case INVALID_ARGUMENT, NOT_FOUND, ALREADY_EXISTS, PERMISSION_DENIED, UNAUTHENTICATED, FAILED_PRECONDITION,
                    OUT_OF_RANGE, UNIMPLEMENTED, ABORTED, DATA_LOSS ->
                end.fromServer() ? Outcome.COMPLETED : Outcome.ERROR;
            case UNKNOWN, INTERNAL -> end.fromServer() ? Outcome.ERROR : Outcome.RESET;
            case RESOURCE_EXHAUSTED -> end.fromServer() ? Outcome.REJECTED : Outcome.ERROR;
            case UNAVAILABLE -> end.fromServer() ? Outcome.REJECTED : Outcome.RESET;
            case DEADLINE_EXCEEDED -> Outcome.TIMED_OUT;
            case CANCELLED -> Outcome.RESET;   // cancellation by the client itself is handled elsewhere
        };
    }

    /** Maps the end of an established call: RESET if it was lost, else COMPLETED, also when its own deadline expired. */
    static Outcome ofEstablished(StreamEnd end) {
        boolean reset = end.code() == Status.Code.UNAVAILABLE || !end.fromServer() && end.code() != Status.Code.OK
                && end.code() != Status.Code.DEADLINE_EXCEEDED;
        return reset ? Outcome.RESET : Outcome.COMPLETED;
    }

    /** Returns the retry delay that the server states, or zero if it states none. */
    static Duration statedRetryDelay(StreamEnd end) {
        return end.pushback().isEmpty() || forbidsRetry(end) ? Duration.ZERO
                : Duration.ofMillis(Integer.parseInt(end.pushback().get()));
    }

    /** gRFC A6: a pushback that is negative or not a number forbids a retry. */
    private static boolean forbidsRetry(StreamEnd end) {
        try {
            return end.pushback().isPresent() && Integer.parseInt(end.pushback().get()) < 0;
        } catch (NumberFormatException e) {
            return true;
        }
    }
}
