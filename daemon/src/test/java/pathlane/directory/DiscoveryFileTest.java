package pathlane.directory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class DiscoveryFileTest {

    private static final Path EXAMPLE = Path.of("../deploy/discovery.toml");

    @TempDir
    Path folder;

    @Test
    void exampleFileMapsPoolsToServices() {
        DiscoveryFile file = DiscoveryFile.read(EXAMPLE, "n1");
        assertEquals("n1", file.watch().name());
        assertEquals(Optional.of("accounts"), file.serviceOf(1));
        assertEquals(Optional.of("billing"), file.serviceOf(2));
        assertEquals(Optional.empty(), file.serviceOf(3));
        assertEquals(Optional.empty(), file.serviceOf(-1));
    }

    @Test
    void errorNamesTheInvalidLine() throws IOException {
        assertError("keys = ", "keys_ = ", "line 7: 'keys_' is no key here");
        assertError("billing = [2]", "billing = [1]", "cell 1 is in 'accounts' and in 'billing'");
        assertError("[services]", "[[publishers]]\nname = \"relay-1\"\naddress = \"127.0.0.1:1\"\n[services]",
                "two publishers have one name");
        assertError("keys = ", "default-service = \"mail\"\nkeys = ", "line 7: 'default-service' is 'mail'");
    }

    private void assertError(String original, String replacement, String expected) throws IOException {
        Path file = Files.writeString(folder.resolve("d.toml"), Files.readString(EXAMPLE).replace(original, replacement));
        String message = assertThrows(IllegalArgumentException.class, () -> DiscoveryFile.read(file, "n1")).getMessage();
        assertTrue(message.contains(expected), message);
    }
}
