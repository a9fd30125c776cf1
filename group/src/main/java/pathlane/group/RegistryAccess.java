package pathlane.group;

import java.util.Optional;
import java.util.function.Consumer;

/** Access to the registry, independent of how voters agree on it. Confined to the event loop's thread. */
public interface RegistryAccess {

    /**
     * Submits a command. The callback runs once, never within this call; it is empty if it is unknown whether the command
     * was carried out. The command may be submitted again then: commands are idempotent.
     */
    void submit(Command command, Consumer<Optional<Reply>> onReply);

    /** The local replica of the registry. It may be behind: rely only on facts that no later command can undo. */
    LeaseRegistry registry();
}
