package pathlane.grpc;

import com.google.protobuf.Any;
import com.google.rpc.RetryInfo;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.protobuf.StatusProto;
import java.time.Duration;
import pathlane.decision.Outcome;

/**
 * A final answer that the module gave, as gRPC says it.
 *
 * @param trailers with RetryInfo and {@code grpc-retry-pushback-ms} where there is a time to come back
 */
record Refusal(Status status, Metadata trailers) {

    /** Turned away; {@code last} is how the last attempt ended, or null where none was made. */
    static Refusal of(Outcome last, Status lastStatus, boolean deadlineOver, Duration comeBackAfter) {
        Status status;
        if (last == Outcome.TIMED_OUT && deadlineOver) {
            status = Status.DEADLINE_EXCEEDED.withDescription("no session server answered in time");
        } else if (last == null || last == Outcome.REJECTED || last == Outcome.NO_CAPACITY) {
            status = Status.RESOURCE_EXHAUSTED.withDescription("turned away: no session server has room");
        } else {
            status = Status.UNAVAILABLE.withDescription("turned away after an attempt that ended as " + last
                    + (lastStatus == null ? "" : " (" + lastStatus.getCode()
                            + (lastStatus.getDescription() == null ? ")" : ": " + lastStatus.getDescription() + ")")));
        }
        return comeBackAfter.isZero() ? new Refusal(status, new Metadata()) : withAdvice(status, comeBackAfter);
    }

    private static Refusal withAdvice(Status status, Duration comeBackAfter) {
        long millis = Math.max(1, (comeBackAfter.toNanos() + 999_999) / 1_000_000);
        com.google.rpc.Status details = com.google.rpc.Status.newBuilder().setCode(status.getCode().value())
                .setMessage(status.getDescription())
                .addDetails(Any.pack(RetryInfo.newBuilder().setRetryDelay(com.google.protobuf.Duration.newBuilder()
                        .setSeconds(millis / 1000).setNanos((int) (millis % 1000) * 1_000_000)).build()))
                .build();
        Metadata trailers = StatusProto.toStatusRuntimeException(details).getTrailers();
        trailers.put(Endings.PUSHBACK, Long.toString(millis));
        return new Refusal(status, trailers);
    }
}
