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
    void eachStartTakesAGreaterEpochThanAnyBefore() {
        Path file = folder.resolve("epoch");
        assertEquals(1, new EpochFile(file).next());
        assertEquals(2, new EpochFile(file).next());
    }

    @Test
    void anEpochThatWasWrittenHalfIsNotTakenForTheLast() throws IOException {
        Path file = folder.resolve("epoch");
        Files.writeString(file, "41\n");
        Files.writeString(folder.resolve("epoch.new"), "4");
        assertEquals(42, new EpochFile(file).next());
    }

    @Test
    void aFileThatHoldsNoEpochIsNeverTakenForNone() throws IOException {
        Path file = folder.resolve("epoch");
        for (String text : new String[] {"", "x", "-3", "0", Long.toString(Long.MAX_VALUE), "1".repeat(40)}) {
            Files.writeString(file, text);
            String sentence = assertThrows(IllegalArgumentException.class, () -> new EpochFile(file).next()).getMessage();
            assertTrue(sentence.contains("line 1") && sentence.contains("is no epoch"), sentence);
            assertEquals(text, Files.readString(file));
        }
    }

    @Test
    void aSourceThatCannotKeepItsEpochDoesNotStart() {
        Path file = folder.resolve("missing").resolve("epoch");
        String sentence = assertThrows(IllegalArgumentException.class, () -> new EpochFile(file).next()).getMessage();
        assertTrue(sentence.contains("can't be written"), sentence);
    }
}
