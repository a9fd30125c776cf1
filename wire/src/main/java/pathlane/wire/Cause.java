package pathlane.wire;

import pathlane.decision.Outcome;

/** The causes of releases and what they mean to the module, both ways. */
public final class Cause {

    public static final int OVER = 16;
    public static final int FAILED = 31;
    public static final int CUT = 41;
    public static final int TURNED_AWAY = 42;

    private static final int BUSY = 17;
    private static final int FULL = 34;
    private static final int OUT_OF_ORDER = 47;
    private static final int NOT_SENT = 102;

    private Cause() {}

    /** How an attempt or a standing call ended, from a session server's release. */
    public static Outcome ending(int cause, String note) {
        return switch (cause) {
            case FULL -> note.equals("no_path") ? Outcome.NO_CAPACITY : Outcome.REJECTED;
            case BUSY, OUT_OF_ORDER -> note.equals("line_taken") ? Outcome.BUSY : Outcome.ERROR;
            case NOT_SENT -> Outcome.NOT_SENT;
            case CUT -> Outcome.RESET;
            case OVER -> Outcome.COMPLETED;
            default -> Outcome.ERROR;
        };
    }

    /** Whether this is the cause of a release of a call that stood, and not of a final answer. */
    public static boolean endsStanding(int cause) {
        return cause == CUT || cause == OVER;
    }

    /** The cause of a release of a call that stood. */
    public static int ofRelease(Outcome how) {
        return how == Outcome.RESET ? CUT : OVER;
    }
}
