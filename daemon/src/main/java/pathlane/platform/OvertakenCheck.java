package pathlane.platform;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Supplier;
import pathlane.core.Scheduler;

/**
 * Finds out that nothing comes any more on a connection though its server works: a server takes set-ups in turn, so one that
 * it answered on another connection, sent well after one of this connection, has overtaken that one. On the loop's thread.
 *
 * <p>A suspicion is confirmed by time. The answers may have come and wait unread behind an own stall, or be on their way; to
 * the server those calls stand, and to break the connection off over them would send each call a second time.
 */
final class OvertakenCheck {

    /** Twice what an answer takes from the farthest zone, and more than the answers of one moment are apart. */
    private static final Duration CONFIRM_AFTER = Duration.ofMillis(50);
    /** The loop has waited once more when this is over: a wait that ends as its time is up has looked at no connection. */
    private static final Duration SECOND_WAIT = Duration.ofMillis(1);

    private final Scheduler scheduler;
    private final Duration overtaken;
    private final OutstandingSetUps outstanding;
    private final Supplier<Instant> lastReceived;
    private final Runnable confirmed;
    private boolean suspected;
    private boolean stopped;

    /**
     * Suspects nothing yet.
     *
     * @param outstanding the set-ups at the server, on all its connections
     * @param lastReceived when the last message was received on this connection
     * @param confirmed called once the connection is found to be overtaken
     */
    OvertakenCheck(ServerLinkContext context, OutstandingSetUps outstanding, Supplier<Instant> lastReceived,
            Runnable confirmed) {
        this.scheduler = context.scheduler();
        this.overtaken = context.limits().overtaken();
        this.outstanding = outstanding;
        this.lastReceived = lastReceived;
        this.confirmed = confirmed;
    }

    /** Whether the connection may turn out to be overtaken. */
    boolean isSuspected() {
        return suspected;
    }

    /** Looks whether a set-up of this connection, sent at that time, was overtaken. */
    void look(Instant sentAt) {
        if (!suspected && !stopped && isOvertaken(sentAt)) {
            suspected = true;
            scheduler.after(CONFIRM_AFTER, () -> confirm(sentAt, () -> scheduler.after(SECOND_WAIT,
                    () -> confirm(sentAt, confirmed))));
        }
    }

    /** The connection has ended. */
    void stop() {
        stopped = true;
    }

    private void confirm(Instant sentAt, Runnable next) {
        suspected = !stopped && isOvertaken(sentAt);
        if (suspected) {
            next.run();
        }
    }

    private boolean isOvertaken(Instant sentAt) {
        return !lastReceived.get().isAfter(sentAt)
                && !outstanding.answeredUpTo().isBefore(sentAt.plus(overtaken));
    }
}
