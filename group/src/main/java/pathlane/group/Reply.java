package pathlane.group;

import java.util.List;

/** What the registry says to a command. */
public sealed interface Reply {

    /** The lease is granted, under this token. */
    record Granted(long token) implements Reply {}

    /** Of the leases that were asked for, these have ended. */
    record Ended(List<Long> tokens) implements Reply {}

    /** Of the shards that were asked for, these are the asker's from now on. */
    record Owned(List<Integer> shards) implements Reply {}

    /** Done, or nothing was left to do. */
    record Done() implements Reply {}

    /** It can't be done, for this reason; asking again does not help. */
    record Refused(String why) implements Reply {}

    /** The only instance that is needed. */
    Reply DONE = new Done();
}
