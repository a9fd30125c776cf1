package pathlane.grpc;

import io.grpc.CallOptions;

/** gRPC call options that the plug-in reads, set as in {@code stub.withOption(PathlaneOptions.CLASS, "...")}. */
public final class PathlaneOptions {

    /**
     * The call's class, by its name in the settings. An unknown name ends the call at once with INVALID_ARGUMENT. If
     * absent, the class configured for the method applies, else the one for the service, else the default class.
     */
    public static final CallOptions.Key<String> CLASS = CallOptions.Key.create("pathlane-class");

    /** The call's destination, such as a customer, line or document number. If absent, no other call shares it. */
    public static final CallOptions.Key<String> NUMBER = CallOptions.Key.create("pathlane-number");

    /** The mark that all tries of one call share; see {@link CallMark}. */
    public static final CallOptions.Key<CallMark> MARK = CallOptions.Key.create("pathlane-mark");

    /** The number (cell) of the preferred server, from 0. If absent, the call prefers none. */
    public static final CallOptions.Key<Integer> FIRST_CHOICE = CallOptions.Key.create("pathlane-first-choice");

    private PathlaneOptions() {}
}
