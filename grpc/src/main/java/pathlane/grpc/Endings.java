package pathlane.grpc;

import io.grpc.Metadata;
import io.grpc.Status;
import java.time.Duration;
import java.util.Optional;
import pathlane.decision.Outcome;

/** What every gRPC status, and every way in which a stream ends, means to the module: the one place that says so. */
final class Endings {

    /** Set by a server that turns a call away; the gRPC retry design (gRFC A6) gives it. */
    static final Metadata.Key<String> PUSHBACK =
            Metadata.Key.of("grpc-retry-pushback-ms", Metadata.ASCII_STRING_MARSHALLER);

    /**
     * How a stream ended.
     *
     * @param fromServer whether the status came in the server's trailers; else this side made it up
     * @param neverRan whether no server has begun on it: it was not sent, refused (REFUSED_STREAM), or beyond the last
     *                 stream that a GOAWAY names
     * @param pushback the server's {@code grpc-retry-pushback-ms}, as it stands in the trailers
     */
    record StreamEnd(Status.Code code, boolean fromServer, boolean neverRan, Optional<String> pushback) {}

    private Endings() {}

    /** The end of an attempt before its call stood. COMPLETED: the status is the server's answer, and goes on. */
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
            case CANCELLED -> Outcome.RESET;   // what this side cancels is not asked here
        };
    }

    /** The end of a call that stood: COMPLETED, or RESET for one that was cut; its own deadline cuts no call. */
    static Outcome ofStanding(StreamEnd end) {
        boolean cut = end.code() == Status.Code.UNAVAILABLE || !end.fromServer() && end.code() != Status.Code.OK
                && end.code() != Status.Code.DEADLINE_EXCEEDED;
        return cut ? Outcome.RESET : Outcome.COMPLETED;
    }

    /** The wait that a server states; nought where it states none. */
    static Duration statedWait(StreamEnd end) {
        return end.pushback().isEmpty() || forbidsRetry(end) ? Duration.ZERO
                : Duration.ofMillis(Integer.parseInt(end.pushback().get()));
    }

    /** gRFC A6: a pushback that is negative, or no number, asks for no further try. */
    private static boolean forbidsRetry(StreamEnd end) {
        try {
            return end.pushback().isPresent() && Integer.parseInt(end.pushback().get()) < 0;
        } catch (NumberFormatException e) {
            return true;
        }
    }
}
