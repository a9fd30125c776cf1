package pathlane.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;

class CapacityPageTest {

    private static final Path HOME = Path.of("..");

    @Test
    void thePageMatchesTheMeasurementsAndAssumptions() throws IOException {
        String page = Files.readString(HOME.resolve(CapacityCommand.PAGE));
        Map<String, String> tables = CapacityCommand.tables(HOME.resolve(CapacityCommand.FOLDER));
        assertEquals(CapacityPage.fill(page, tables), page, "run 'lab capacity --write' and review the changes");
    }

    @Test
    void onlyTheGeneratedBlocksAreReplaced() {
        String page = "a\n<!-- begin generated: one -->\nold\n<!-- end generated: one -->\nb\n";
        assertEquals("a\n<!-- begin generated: one -->\nnew $1\n<!-- end generated: one -->\nb\n",
                CapacityPage.fill(page, Map.of("one", "new $1\n")));
    }

    @Test
    void aBlockWithoutATableAndATableWithoutABlockAreRejected() {
        String page = "<!-- begin generated: one -->\n<!-- end generated: one -->\n";
        assertThrows(IllegalArgumentException.class, () -> CapacityPage.fill(page, Map.of("other", "")));
        assertThrows(IllegalArgumentException.class, () -> CapacityPage.fill(page, Map.of("one", "", "other", "")));
    }
}
