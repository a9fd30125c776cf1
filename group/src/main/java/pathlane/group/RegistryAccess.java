package pathlane.group;

import java.util.Optional;
import java.util.function.Consumer;

/** The narrow way to the register: whatever agrees on it stands behind this. On the loop's thread. */
public interface RegistryAccess {

    /**
     * Asks for a command. The answer comes once, never within this call; empty where it is not known whether the command
     * was carried out. It may be asked again then: commands can be applied twice.
     */
    void submit(Command command, Consumer<Optional<Reply>> answered);

    /** The register as far as it was followed; it may be behind, so it proves nothing but what no change can undo. */
    LeaseRegistry registry();
}
