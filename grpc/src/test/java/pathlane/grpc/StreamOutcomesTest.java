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
import pathlane.grpc.StreamOutcomes.StreamEnd;

class StreamOutcomesTest {

    private static StreamEnd end(Code code, boolean fromServer, String pushback) {
        return new StreamEnd(code, fromServer, false, Optional.ofNullable(pushback));
    }

    /** The table in docs/GRPC.md must have a row for each code, with the outcomes that the code maps it to. */
    @Test
    void documentedTableMatchesMapping() throws Exception {
        String page = Files.readString(Path.of("../docs/GRPC.md"));
        for (Code code : Code.values()) {
            String row = "| " + code + " | " + StreamOutcomes.ofAttempt(end(code, true, null)) + " | "
                    + StreamOutcomes.ofAttempt(end(code, false, null)) + " | "
                    + StreamOutcomes.ofEstablished(end(code, true, null)) + " | "
                    + StreamOutcomes.ofEstablished(end(code, false, null)) + " |";
            assertTrue(page.contains(row), "missing row: " + row);
        }
    }

    @Test
    void streamThatNeverRanIsUnreachableForAnyStatus() {
        for (Code code : Code.values()) {
            assertEquals(Outcome.UNREACHABLE,
                    StreamOutcomes.ofAttempt(new StreamEnd(code, false, true, Optional.empty())));
        }
    }

    @Test
    void pushbackStatesRetryDelayAndInvalidOneForbidsRetry() {
        assertEquals(Duration.ofMillis(250), StreamOutcomes.statedRetryDelay(end(Code.RESOURCE_EXHAUSTED, true, "250")));
        assertEquals(Outcome.REJECTED, StreamOutcomes.ofAttempt(end(Code.RESOURCE_EXHAUSTED, true, "250")));
        for (String never : new String[] {"-1", "soon"}) {
            assertEquals(Outcome.COMPLETED, StreamOutcomes.ofAttempt(end(Code.RESOURCE_EXHAUSTED, true, never)));
            assertEquals(Duration.ZERO, StreamOutcomes.statedRetryDelay(end(Code.RESOURCE_EXHAUSTED, true, never)));
        }
    }
}
