package pathlane.group;

import java.util.Optional;
import java.util.function.Consumer;

/** A log on which the voters agree; what is in it is applied in one order at each of them. On the loop's thread. */
public interface CommandLog {

    /** Whether this voter leads, as far as it knows. */
    boolean isLeader();

    /**
     * Adds a command. What the register said to it is told once, after it was applied here; empty where that is not
     * known, since leadership changed or no majority was reached.
     */
    void append(Command command, Consumer<Optional<Reply>> applied);
}
