package pathlane.group;

import java.util.Optional;
import java.util.function.Consumer;

/** A replicated log: every voter applies its commands in the same order. Confined to the event loop's thread. */
public interface CommandLog {

    /** Whether this voter believes that it is the leader. */
    boolean isLeader();

    /**
     * Appends a command. The callback runs once: with the registry's reply after the command was applied here, or empty if
     * the outcome is unknown because leadership changed or no majority was reached.
     */
    void append(Command command, Consumer<Optional<Reply>> onApplied);
}
