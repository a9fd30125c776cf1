package pathlane.group;

import java.util.List;

/** The registry's reply to a command. */
public sealed interface Reply {

    /** A lease was granted with this token. */
    record Granted(long token) implements Reply {}

    /** Those leases of the command that have ended. */
    record Ended(List<Long> tokens) implements Reply {}

    /** Those shards of the command that the member owns from now on. */
    record Owned(List<Integer> shards) implements Reply {}

    /** The command is carried out, or there was nothing to do. */
    record Done() implements Reply {}

    /** The command can't be carried out for this reason; a retry does not help. */
    record Refused(String reason) implements Reply {}

    /** The shared instance. */
    Reply DONE = new Done();
}
