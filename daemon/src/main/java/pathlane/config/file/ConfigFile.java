package pathlane.config.file;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/** The file that RELAY_CONFIG names and its last content. Confined to the event loop's thread once the program serves. */
public final class ConfigFile {

    private final Path file;
    /** The last content read, valid or not, so that the same error is not reported twice. */
    private String lastContent = "";

    public ConfigFile(Path file) {
        this.file = file;
    }

    /**
     * Reads the file.
     *
     * @throws IllegalArgumentException with a one-line message if it is invalid
     */
    public NodeConfig read() {
        try {
            lastContent = Files.readString(file);
        } catch (IOException e) {
            throw new IllegalArgumentException("the configuration " + file + " can't be read", e);
        }
        try {
            NodeConfig config = NodeConfig.parse(lastContent);
            config.descriptors().requireEnoughForProcess();
            return config;
        } catch (RuntimeException e) {
            throw NodeConfig.invalidFile(file, e);
        }
    }

    /**
     * Returns the configuration if the file's content has changed. A file that can't be read counts as unchanged: it may
     * be about to be replaced.
     *
     * @throws IllegalArgumentException with a one-line message if it has changed and is invalid
     */
    public Optional<NodeConfig> readIfChanged() {
        try {
            if (Files.readString(file).equals(lastContent)) {
                return Optional.empty();
            }
        } catch (IOException e) {
            return Optional.empty();
        }
        return Optional.of(read());
    }
}
