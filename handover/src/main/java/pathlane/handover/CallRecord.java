package pathlane.handover;

import java.time.Duration;
import pathlane.decision.Outcome;

/**
 * What a successor has to know of one call.
 *
 * @param call its id
 * @param server where its attempt is out, where it stands, or to which its release is owed
 * @param caller by what name its caller is known; empty where any connection reaches it
 * @param how the end that is owed to its caller; COMPLETED in all other kinds
 * @param ending what its server needs beside its id to be told its end; empty where it needs nothing, or in other kinds
 * @param lasts how long an attempt may be out, or nothing may be sent, from when the record was made
 */
public record CallRecord(String call, Kind kind, long server, String caller, Outcome how, Duration lasts,
        byte[] ending) {

    /** What is left to do. The place in this list is the number in messages. */
    public enum Kind {
        /** An attempt is out: it may stand by now, and nothing else may be sent for the call. */
        SENT,
        /** An attempt was lost or is over, and the call goes on: nothing is sent for it for a while. */
        WAITS,
        /** It stands. */
        STANDS,
        /** Its end is owed to its caller. */
        OWES_CALLER,
        /** Its release is owed to its server. */
        OWES_SERVER,
        /** Nothing is left to do, and whoever looks into older records of it has to know so. */
        OVER
    }

    private static final byte[] NOTHING = {};

    static CallRecord sent(String call, long server, String caller, Duration lasts, byte[] ending) {
        return new CallRecord(call, Kind.SENT, server, caller, Outcome.COMPLETED, lasts, ending);
    }

    static CallRecord waits(String call, long server, String caller, Duration lasts, byte[] ending) {
        return new CallRecord(call, Kind.WAITS, server, caller, Outcome.COMPLETED, lasts, ending);
    }

    static CallRecord stands(String call, long server, String caller, byte[] ending) {
        return new CallRecord(call, Kind.STANDS, server, caller, Outcome.COMPLETED, Duration.ZERO, ending);
    }

    static CallRecord owesCaller(String call, String caller, Outcome how) {
        return new CallRecord(call, Kind.OWES_CALLER, 0, caller, how, Duration.ZERO, NOTHING);
    }

    static CallRecord owesServer(String call, long server, byte[] ending) {
        return new CallRecord(call, Kind.OWES_SERVER, server, "", Outcome.COMPLETED, Duration.ZERO, ending);
    }

    static CallRecord over(String call) {
        return new CallRecord(call, Kind.OVER, 0, "", Outcome.COMPLETED, Duration.ZERO, NOTHING);
    }
}
