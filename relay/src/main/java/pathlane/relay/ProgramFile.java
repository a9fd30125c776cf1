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

/** The file of a source or a relay, in TOML. */
sealed interface ProgramFile {

    /** What both roles have. */
    Common common();

    /**
     * What both roles have.
     *
     * @param name who it is among publishers and subscribers; the same after a restart
     * @param listen where subscribers come
     * @param keys the file of the keys that sign each frame
     * @param terms limits of the publisher
     */
    record Common(String name, InetSocketAddress listen, Path keys, PublisherTerms terms) {

        /** Reads the keys that the file names. */
        KeyRing readKeys() {
            return WatchTables.keys(keys);
        }
    }

    /** Where a source has its content from. */
    sealed interface Origin {}

    /**
     * The platform's event bus.
     *
     * @param services the cells of each service; no cell is in two
     * @param configurations the configuration of each service that has one
     */
    record BusOrigin(InetSocketAddress bus, Map<String, Set<Integer>> services,
            Map<String, ConfigurationText> configurations) implements Origin {}

    /** A file with the whole catalogue, read again at SIGHUP. */
    record CatalogueOrigin(Path catalogue) implements Origin {}

    /** A service's configuration: its text, or the file that holds it. */
    record ConfigurationText(Optional<Path> file, String text) {

        /**
         * The text as it is now.
         *
         * @throws IllegalArgumentException with a sentence where the file can't be read, or holds too much
         */
        String read() {
            String whole;
            try {
                whole = file.isPresent() ? Files.readString(file.get()) : text;
            } catch (IOException e) {
                throw new IllegalArgumentException("the configuration's file " + file.get() + " can't be read", e);
            }
            if (whole.length() > CatalogueLimits.LONGEST_CONFIGURATION) {
                throw new IllegalArgumentException("a configuration of " + whole.length() + " characters"
                        + file.map(path -> " in " + path).orElse("") + "; right would be "
                        + CatalogueLimits.LONGEST_CONFIGURATION + " at the most");
            }
            return whole;
        }
    }

    /** A source. */
    record SourceFile(Common common, Path epochFile, Origin origin) implements ProgramFile {}

    /** A relay: what it watches by, and whom. */
    record RelayFile(Common common, WatchTerms upstream) implements ProgramFile {}

    /**
     * Reads the file.
     *
     * @throws IllegalArgumentException with one sentence that names file and line, and what would be right
     */
    static ProgramFile read(Path file) {
        return new ProgramFileReader(TomlFile.parse(file)).read();
    }
}
