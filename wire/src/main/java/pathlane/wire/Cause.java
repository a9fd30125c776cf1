package pathlane.wire;

import pathlane.decision.Outcome;

/** Maps the cause values of release messages to outcomes, and outcomes to cause values. */
public final class Cause {

    public static final int NORMAL_CLEARING = 16;
    public static final int FAILED = 31;
    public static final int RESET = 41;
    public static final int REJECTED = 42;

    private static final int BUSY = 17;
    private static final int NO_RESOURCES = 34;
    private static final int OUT_OF_ORDER = 47;
    private static final int NOT_SENT = 102;

    private Cause() {}

    /** The outcome of an attempt or of an established call that a session server's release reports. */
    public static Outcome outcomeOf(int cause, String detail) {
        return switch (cause) {
            case NO_RESOURCES -> detail.equals("no_path") ? Outcome.NO_CAPACITY : Outcome.REJECTED;
            case BUSY, OUT_OF_ORDER -> detail.equals("line_taken") ? Outcome.BUSY : Outcome.ERROR;
            case NOT_SENT -> Outcome.NOT_SENT;
            case RESET -> Outcome.RESET;
            case NORMAL_CLEARING -> Outcome.COMPLETED;
            default -> Outcome.ERROR;
        };
    }

    /** Whether a release with this cause ends an established call; any other cause is a final answer to a request. */
    public static boolean endsEstablishedCall(int cause) {
        return cause == RESET || cause == NORMAL_CLEARING;
    }

    /** The cause to send when an established call is released. */
    public static int ofEstablishedCall(Outcome outcome) {
        return outcome == Outcome.RESET ? RESET : NORMAL_CLEARING;
    }
}
