package pathlane.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class EpochFileTest {

    @TempDir
    Path folder;

    @Test
    void eachStartTakesAGreaterEpoch() {
        Path file = folder.resolve("epoch");
        assertEquals(1, new EpochFile(file).next());
        assertEquals(2, new EpochFile(file).next());
    }

    @Test
    void partiallyWrittenEpochIsIgnored() throws IOException {
        Path file = folder.resolve("epoch");
        Files.writeString(file, "41\n");
        Files.writeString(folder.resolve("epoch.new"), "4");
        assertEquals(42, new EpochFile(file).next());
    }

    @Test
    void fileWithoutValidEpochIsRejected() throws IOException {
        Path file = folder.resolve("epoch");
        for (String text : new String[] {"", "x", "-3", "0", Long.toString(Long.MAX_VALUE), "1".repeat(40)}) {
            Files.writeString(file, text);
            String message = assertThrows(IllegalArgumentException.class, () -> new EpochFile(file).next()).getMessage();
            assertTrue(message.contains("line 1") && message.contains("is no epoch"), message);
            assertEquals(text, Files.readString(file));
        }
    }

    @Test
    void sourceThatCannotPersistItsEpochDoesNotStart() {
        Path file = folder.resolve("missing").resolve("epoch");
        String message = assertThrows(IllegalArgumentException.class, () -> new EpochFile(file).next()).getMessage();
        assertTrue(message.contains("can't be written"), message);
    }
}
