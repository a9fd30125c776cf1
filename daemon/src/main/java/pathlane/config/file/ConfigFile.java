package pathlane.config.file;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/** The file that RELAY_CONFIG names, and what it last said. On the loop's thread alone once the program serves. */
public final class ConfigFile {

    private final Path file;
    /** The last text that was read, whether it could be used or not: nobody wants to hear of the same fault twice. */
    private String last = "";

    public ConfigFile(Path file) {
        this.file = file;
    }

    /**
     * Reads the file.
     *
     * @throws IllegalArgumentException with one plain sentence where it can't be used
     */
    public NodeConfig read() {
        try {
            last = Files.readString(file);
        } catch (IOException e) {
            throw new IllegalArgumentException("the configuration " + file + " can't be read", e);
        }
        try {
            NodeConfig config = NodeConfig.parse(last);
            config.descriptors().requireEnoughForProcess();
            return config;
        } catch (RuntimeException e) {
            throw NodeConfig.unusable(file, e);
        }
    }

    /**
     * What the file says, where it is not what it last said. A file that can't be read at all has said nothing new: it
     * may be about to be replaced.
     *
     * @throws IllegalArgumentException with one plain sentence where it is new and can't be used
     */
    public Optional<NodeConfig> readIfChanged() {
        try {
            if (Files.readString(file).equals(last)) {
                return Optional.empty();
            }
        } catch (IOException e) {
            return Optional.empty();
        }
        return Optional.of(read());
    }
}
