package pathlane.diameter;

import pathlane.decision.Outcome;

/** Diameter result codes and their mapping to the core's outcomes. */
final class ResultCode {

    static final int SUCCESS = 2001;
    static final int COMMAND_UNSUPPORTED = 3001;
    static final int UNABLE_TO_DELIVER = 3002;
    static final int TOO_BUSY = 3004;
    static final int APPLICATION_UNSUPPORTED = 3007;
    static final int INVALID_HDR_BITS = 3008;
    static final int INVALID_AVP_BITS = 3009;
    static final int ELECTION_LOST = 4003;
    static final int UNKNOWN_SESSION_ID = 5002;
    static final int INVALID_AVP_VALUE = 5004;
    static final int MISSING_AVP = 5005;
    static final int NO_COMMON_APPLICATION = 5010;
    static final int UNSUPPORTED_VERSION = 5011;
    static final int UNABLE_TO_COMPLY = 5012;
    static final int INVALID_AVP_LENGTH = 5014;
    static final int INVALID_MESSAGE_LENGTH = 5015;
    private static final int LIMITED_SUCCESS = 2002;
    private static final int CODES_PER_CLASS = 1000;
    private static final int PROTOCOL_ERROR_CLASS = 3;

    private ResultCode() {}

    /** Whether an answer with this code establishes the call. */
    static boolean isSuccess(int code) {
        return code == SUCCESS || code == LIMITED_SUCCESS;
    }

    /** The outcome of an attempt that was answered with this error code. */
    static Outcome outcomeOf(int code) {
        return switch (code) {
            case TOO_BUSY -> Outcome.REJECTED;
            default -> Outcome.ERROR;
        };
    }

    /** Whether answers with this code carry the error bit (RFC 6733, section 7.1.3). */
    static boolean isProtocolError(int code) {
        return code / CODES_PER_CLASS == PROTOCOL_ERROR_CLASS;
    }
}
