package pathlane.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import pathlane.discovery.CatalogueLimits;
import pathlane.discovery.PublisherTerms;
import pathlane.discovery.WatchTerms;
import pathlane.files.TomlFile;
import pathlane.files.WatchTables;
import pathlane.group.KeyRing;

/** The configuration file of a source or a relay, in TOML. */
sealed interface ProgramFile {

    /** The settings that both roles share. */
    Common common();

    /**
     * The settings that both roles share.
     *
     * @param name the program's name among publishers and subscribers; stable across restarts
     * @param listen the address that subscribers connect to
     * @param keys the file with the keys that authenticate each frame
     * @param terms limits of the publisher
     */
    record Common(String name, InetSocketAddress listen, Path keys, PublisherTerms terms) {

        /** Reads the key file. */
        KeyRing readKeys() {
            return WatchTables.keys(keys);
        }
    }

    /** The origin of a source's content. */
    sealed interface Origin {}

    /**
     * The platform's event bus.
     *
     * @param services the cells of each service; no cell belongs to two services
     * @param configurations the configuration of each service that has one
     */
    record BusOrigin(InetSocketAddress bus, Map<String, Set<Integer>> services,
            Map<String, ConfigurationText> configurations) implements Origin {}

    /** A file with the complete catalogue, reloaded on SIGHUP. */
    record CatalogueOrigin(Path catalogue) implements Origin {}

    /** A service's configuration: inline text, or the file that contains it. */
    record ConfigurationText(Optional<Path> file, String text) {

        /**
         * Returns the current text, reading the file if there is one.
         *
         * @throws IllegalArgumentException if the file cannot be read or is too long
         */
        String read() {
            String content;
            try {
                content = file.isPresent() ? Files.readString(file.get()) : text;
            } catch (IOException e) {
                throw new IllegalArgumentException("the configuration file " + file.get() + " cannot be read", e);
            }
            if (content.length() > CatalogueLimits.MAX_CONFIGURATION_LENGTH) {
                throw new IllegalArgumentException("a configuration of " + content.length() + " characters"
                        + file.map(path -> " in " + path).orElse("") + "; expected "
                        + CatalogueLimits.MAX_CONFIGURATION_LENGTH + " at most");
            }
            return content;
        }
    }

    /** The settings of a source. */
    record SourceFile(Common common, Path epochFile, Origin origin) implements ProgramFile {}

    /** The settings of a relay, with the publishers that it watches. */
    record RelayFile(Common common, WatchTerms upstream) implements ProgramFile {}

    /**
     * Reads the file.
     *
     * @throws IllegalArgumentException if the file is invalid, with a one-sentence message that names file, line and the
     *                                  expected value
     */
    static ProgramFile read(Path file) {
        return new ProgramFileReader(TomlFile.parse(file)).read();
    }
}
