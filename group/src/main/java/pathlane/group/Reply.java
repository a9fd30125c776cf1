package pathlane.group;

import java.util.List;

/** What the register says to a command. */
public sealed interface Reply {

    /** The lease is granted, under this token. */
    record Granted(long token) implements Reply {}

    /** Of those asked for, these leases have ended. */
    record Ended(List<Long> tokens) implements Reply {}

    /** These slots are the asker's from now on. */
    record Held(List<Integer> slots) implements Reply {}

    /** Done, or nothing was left to do. */
    record Done() implements Reply {}

    /** It can't be done, for this reason; asking again does not help. */
    record Refused(String why) implements Reply {}

    Reply DONE = new Done();
}
