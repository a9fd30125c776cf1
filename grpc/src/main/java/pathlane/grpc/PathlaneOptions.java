package pathlane.grpc;

import io.grpc.CallOptions;

/** What an application may say of a call, as options of gRPC: {@code stub.withOption(PathlaneOptions.CLASS, "...")}. */
public final class PathlaneOptions {

    /**
     * The call's class, by its name in the settings. A name that is not there ends the call at once with
     * INVALID_ARGUMENT. Absent: what the configuration says of the method, else of the service, else the default class.
     */
    public static final CallOptions.Key<String> CLASS = CallOptions.Key.create("pathlane-class");

    /** The number called: what calls for the same customer, line or document share. Absent: shared with none. */
    public static final CallOptions.Key<String> NUMBER = CallOptions.Key.create("pathlane-number");

    /** The mark that all tries of a call share; see {@link CallMark}. */
    public static final CallOptions.Key<CallMark> MARK = CallOptions.Key.create("pathlane-mark");

    /** The number (cell) of the server of first choice, from 0. Absent: none. */
    public static final CallOptions.Key<Integer> FIRST_CHOICE = CallOptions.Key.create("pathlane-first-choice");

    private PathlaneOptions() {}
}
