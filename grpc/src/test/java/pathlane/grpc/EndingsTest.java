package pathlane.grpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.grpc.Status.Code;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import pathlane.decision.Outcome;
import pathlane.grpc.Endings.StreamEnd;

class EndingsTest {

    private static StreamEnd end(Code code, boolean fromServer, String pushback) {
        return new StreamEnd(code, fromServer, false, Optional.ofNullable(pushback));
    }

    /** The operators' page has the table; each of its rows is what the program does, and each code has one. */
    @Test
    void theTableInTheDocsIsWhatHappens() throws Exception {
        String page = Files.readString(Path.of("../docs/GRPC.md"));
        for (Code code : Code.values()) {
            String row = "| " + code + " | " + Endings.ofAttempt(end(code, true, null)) + " | "
                    + Endings.ofAttempt(end(code, false, null)) + " | " + Endings.ofStanding(end(code, true, null)) + " | "
                    + Endings.ofStanding(end(code, false, null)) + " |";
            assertTrue(page.contains(row), "no row: " + row);
        }
    }

    @Test
    void whatNeverRanIsFreeToGoElsewhereAtOnceWhateverItsStatus() {
        for (Code code : Code.values()) {
            assertEquals(Outcome.UNREACHABLE,
                    Endings.ofAttempt(new StreamEnd(code, false, true, Optional.empty())));
        }
    }

    @Test
    void aServersPushbackIsItsStatedWaitAndANegativeOneItsLastWord() {
        assertEquals(Duration.ofMillis(250), Endings.statedWait(end(Code.RESOURCE_EXHAUSTED, true, "250")));
        assertEquals(Outcome.REJECTED, Endings.ofAttempt(end(Code.RESOURCE_EXHAUSTED, true, "250")));
        for (String never : new String[] {"-1", "soon"}) {
            assertEquals(Outcome.COMPLETED, Endings.ofAttempt(end(Code.RESOURCE_EXHAUSTED, true, never)));
            assertEquals(Duration.ZERO, Endings.statedWait(end(Code.RESOURCE_EXHAUSTED, true, never)));
        }
    }
}
