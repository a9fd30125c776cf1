package pathlane.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pathlane.discovery.PublisherTerms;
import pathlane.relay.ProgramFile.BusOrigin;
import pathlane.relay.ProgramFile.RelayFile;
import pathlane.relay.ProgramFile.SourceFile;

class ProgramFileTest {

    private static final String COMMON = "name = 'x'\nlisten = '127.0.0.1:0'\nkeys = 'k'\n";
    private static final String SOURCE = "role = 'source'\n" + COMMON + "epoch-file = 'e'\n";
    private static final String RELAY = "role = 'relay'\n" + COMMON;
    private static final String PUBLISHER = "[[publishers]]\nname = 's'\naddress = '127.0.0.1:1'\n";

    @TempDir
    Path folder;

    private ProgramFile read(String text) throws IOException {
        Path file = folder.resolve("file.toml");
        Files.writeString(file, text);
        return ProgramFile.read(file);
    }

    @Test
    void exampleFilesAreValid() {
        SourceFile source = assertInstanceOf(SourceFile.class, ProgramFile.read(Path.of("../deploy/source.toml")));
        assertEquals(PublisherTerms.DEFAULTS, source.common().terms());
        RelayFile relay = assertInstanceOf(RelayFile.class, ProgramFile.read(Path.of("../deploy/relay.toml")));
        assertEquals(PublisherTerms.DEFAULTS, relay.common().terms());
        assertEquals(relay.common().name(), relay.upstream().name());
    }

    @Test
    void cellsAndConfigurationsBelongToServices() throws IOException {
        Files.writeString(folder.resolve("b.json"), "{}");
        BusOrigin origin = assertInstanceOf(BusOrigin.class, ((SourceFile) read(SOURCE + "bus = '127.0.0.1:1'\n"
                + "[services]\na = [1, 2]\nb = [3]\n[configuration]\na = 'text'\nb = {file = 'b.json'}\n")).origin());
        assertEquals(Map.of("a", Set.of(1, 2), "b", Set.of(3)), origin.services());
        assertEquals(List.of("text", "{}"), origin.configurations().values().stream()
                .map(ProgramFile.ConfigurationText::read).toList());
    }

    @Test
    void everyLimitIsConfigurable() throws IOException {
        RelayFile relay = (RelayFile) read(RELAY + PUBLISHER + "[limits]\nsubscribers = 5\nwatches-per-second = 6\n"
                + "watch-burst = 7\nunacknowledged-bytes = 8000\nupdate-bytes = 9000\nhistory-changes = 10\n"
                + "bookmark-ms = 110\ndead-after-ms = 12000\n[watch]\nbackoff-first-ms = 13\nbackoff-most-ms = 14\n"
                + "silent-after-ms = 15000\nreturn-within-ms = 16\n");
        assertEquals(new PublisherTerms(5, 6, 7, 8000, 9000, 10, Duration.ofMillis(110), Duration.ofSeconds(12)),
                relay.common().terms());
        assertEquals(List.of(13L, 14L, 15_000L, 16L), List.of(relay.upstream().initialBackoff().toMillis(),
                relay.upstream().maxBackoff().toMillis(), relay.upstream().silenceTimeout().toMillis(),
                relay.upstream().returnWithin().toMillis()));
    }

    @Test
    void invalidFileIsReportedInOneSentenceWithItsLine() throws IOException {
        Map<String, String> invalidFiles = Map.ofEntries(
                Map.entry("role = 'root'\n", "line 1: 'role' is 'root'; expected one of relay, source"),
                Map.entry("x = \n", "line 1: "),
                Map.entry(SOURCE + "lisen = 'x'\n", "line 6: 'lisen' is no key here"),
                Map.entry(SOURCE, "neither 'bus' nor 'catalogue'"),
                Map.entry(SOURCE + "bus = 'x'\n[services]\na = [1]\n", "line 6: 'bus' is 'x'"),
                Map.entry(SOURCE + "bus = '127.0.0.1:1'\ncatalogue = 'c'\n", "line 7: both"),
                Map.entry(SOURCE + "bus = '127.0.0.1:1'\n[services]\na = [1]\nb = [1]\n", "line 9: cell 1 is in"),
                Map.entry(SOURCE + "bus = '127.0.0.1:1'\n[services]\na = 1\n", "line 8: 'services.a' is 1"),
                Map.entry(SOURCE + "bus = '127.0.0.1:1'\n[services]\na = [1]\n[configuration]\nb = ''\n",
                        "line 10: 'configuration' names 'b'"),
                Map.entry(RELAY, "no publisher is there"),
                Map.entry(RELAY + "[[publishers]]\nname = 's'\n", "line 5: 'publishers.address' is missing"),
                Map.entry(RELAY + PUBLISHER + "[limits]\nsubscribers = 0\n", "line 9: 'limits.subscribers' is 0"),
                Map.entry(RELAY + PUBLISHER + "[watch]\nsilent-after-ms = 1000\n", "line 9: 'watch.silent-after-ms'"));
        invalidFiles.forEach((text, sentence) -> {
            String message = assertThrows(IllegalArgumentException.class, () -> read(text), text).getMessage();
            assertTrue(message.contains(sentence), message);
            assertEquals(1, message.lines().count(), message);
        });
    }
}
