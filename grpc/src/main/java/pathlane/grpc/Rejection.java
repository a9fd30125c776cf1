package pathlane.grpc;

import com.google.protobuf.Any;
import com.google.rpc.RetryInfo;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.protobuf.StatusProto;
import java.time.Duration;
import pathlane.decision.Outcome;

/**
 * A final answer of the controller in the form of a gRPC status and trailers.
 *
 * @param trailers with RetryInfo and {@code grpc-retry-pushback-ms} if there is a retry-after time
 */
record Rejection(Status status, Metadata trailers) {

    /** Builds the answer for a rejected call; {@code lastOutcome} is that of its last attempt, or null if there was none. */
    static Rejection of(Outcome lastOutcome, Status lastStatus, boolean deadlineExpired, Duration retryAfter) {
        Status status;
        if (lastOutcome == Outcome.TIMED_OUT && deadlineExpired) {
            status = Status.DEADLINE_EXCEEDED.withDescription("no session server answered in time");
        } else if (lastOutcome == null || lastOutcome == Outcome.REJECTED || lastOutcome == Outcome.NO_CAPACITY) {
            status = Status.RESOURCE_EXHAUSTED.withDescription("rejected: no session server has capacity");
        } else {
            status = Status.UNAVAILABLE.withDescription("rejected after an attempt that ended as " + lastOutcome
                    + (lastStatus == null ? "" : " (" + lastStatus.getCode()
                            + (lastStatus.getDescription() == null ? ")" : ": " + lastStatus.getDescription() + ")")));
        }
        return retryAfter.isZero() ? new Rejection(status, new Metadata()) : withRetryInfo(status, retryAfter);
    }

    private static Rejection withRetryInfo(Status status, Duration retryAfter) {
        long millis = Math.max(1, (retryAfter.toNanos() + 999_999) / 1_000_000);
        com.google.rpc.Status details = com.google.rpc.Status.newBuilder().setCode(status.getCode().value())
                .setMessage(status.getDescription())
                .addDetails(Any.pack(RetryInfo.newBuilder().setRetryDelay(com.google.protobuf.Duration.newBuilder()
                        .setSeconds(millis / 1000).setNanos((int) (millis % 1000) * 1_000_000)).build()))
                .build();
        Metadata trailers = StatusProto.toStatusRuntimeException(details).getTrailers();
        trailers.put(StreamOutcomes.PUSHBACK, Long.toString(millis));
        return new Rejection(status, trailers);
    }
}
