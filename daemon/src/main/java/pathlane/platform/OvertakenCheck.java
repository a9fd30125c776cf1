package pathlane.platform;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Supplier;
import pathlane.core.Scheduler;

/**
 * Detects a connection on which nothing is received any more although its server works. A server processes requests in the
 * order of arrival, so a request that it answered on another connection, sent well after one on this connection, has
 * overtaken that one. On the loop's thread.
 *
 * <p>A suspicion has to persist for a while. The answers may have arrived and be unread because this program was stalled, or
 * they may be on their way; the server then holds those calls as established, and aborting the connection would send each of
 * these calls a second time.
 */
final class OvertakenCheck {

    /** Twice the latency of an answer from the farthest zone, and more than answers sent at the same time differ by. */
    private static final Duration CONFIRMATION_DELAY = Duration.ofMillis(50);
    /**
     * Ensures that the loop has polled the connections once more: a poll that ends because a timer is due has not checked
     * them.
     */
    private static final Duration SECOND_CONFIRMATION_DELAY = Duration.ofMillis(1);

    private final Scheduler scheduler;
    private final Duration overtakenAfter;
    private final OutstandingRequests outstanding;
    private final Supplier<Instant> lastReceived;
    private final Runnable onConfirmed;
    private boolean isSuspected;
    private boolean isStopped;

    /**
     * Creates a check without a suspicion.
     *
     * @param outstanding the outstanding requests on all connections to the server
     * @param lastReceived when the last message was received on this connection
     * @param onConfirmed called once it is confirmed that the connection was overtaken
     */
    OvertakenCheck(ServerLinkContext context, OutstandingRequests outstanding, Supplier<Instant> lastReceived,
            Runnable onConfirmed) {
        this.scheduler = context.scheduler();
        this.overtakenAfter = context.limits().overtakenAfter();
        this.outstanding = outstanding;
        this.lastReceived = lastReceived;
        this.onConfirmed = onConfirmed;
    }

    /** Whether a suspicion is being confirmed. */
    boolean isSuspected() {
        return isSuspected;
    }

    /** Checks whether a request that was sent on this connection at that time was overtaken. */
    void check(Instant sentAt) {
        if (!isSuspected && !isStopped && isOvertaken(sentAt)) {
            isSuspected = true;
            scheduler.after(CONFIRMATION_DELAY, () -> confirm(sentAt, () -> scheduler.after(SECOND_CONFIRMATION_DELAY,
                    () -> confirm(sentAt, onConfirmed))));
        }
    }

    /** The connection has ended. */
    void stop() {
        isStopped = true;
    }

    private void confirm(Instant sentAt, Runnable next) {
        isSuspected = !isStopped && isOvertaken(sentAt);
        if (isSuspected) {
            next.run();
        }
    }

    private boolean isOvertaken(Instant sentAt) {
        return !lastReceived.get().isAfter(sentAt)
                && !outstanding.latestAnsweredSentAt().isBefore(sentAt.plus(overtakenAfter));
    }
}
