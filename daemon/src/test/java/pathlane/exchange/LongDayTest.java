package pathlane.exchange;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A long day: every second a server is replaced under a new id, and a new caller asks once and keeps its connection. */
class LongDayTest {

    private static final Path CONFIG = Path.of("src/test/resources/exchanges/platform/config.json");
    /** By then as much is kept as at any later time: calls that are over are remembered for a minute. */
    private static final int SETTLED = 100;
    private static final int LONG = 1000;
    private static final int KEPT_OPEN = 12;
    /** What differs between one second and another of the same kind. */
    private static final int SWAY = 5;

    @Test
    void whatIsKeptDoesNotGrowWithTheDay() throws IOException {
        ExchangeHarness harness = new ExchangeHarness(false, Files.readString(CONFIG));
        harness.play(List.of("accept 9092", "9092 < 0000000000000003", "accept 5001", "accept 5002"));
        int settled = 0;
        for (int second = 1; second <= LONG; second++) {
            harness.play(second(second));
            settled = second == SETTLED ? harness.kept() : settled;
        }
        int kept = harness.kept();
        int most = settled + SWAY;
        assertTrue(kept <= most, () -> kept + " kept, of which there were " + most + " at the most");
    }

    private static List<String> second(int second) {
        String caller = "c" + second % KEPT_OPEN;
        String call = String.format("%016x", second);
        String setUp = "81{2 \"status-check\"} 84{2 \"%d\"} 8d{2 \"" + call + "\"}";
        return List.of(
                second > KEPT_OPEN ? caller + " closed IDLE" : "# not open yet",
                // Server N comes and N - 1 goes; some come at the address of one that has gone.
                String.format("9092 > {4 %016x 02 %08x 7f000001 %04x 00 00 00 0005 000003e8 0000000000000000"
                        + " %08x 7f000001 %04x 02 00 00 0005 000003e8 0000000000000000}", second + 3,
                        second + 10, 6000 + second % 3, second + 9, 6000 + (second + 2) % 3),
                second > 1 ? 6000 + (second + 2) % 3 + " closed DELISTED" : "# none has gone yet",
                "accept " + (6000 + second % 3),
                "open " + caller,
                String.format(caller + " > {2 01 " + call + " " + setUp + " 90{2 \"dest:1;width:1;via:-1\"} ae{2 01}}",
                        1500),
                String.format("5002 < {2 01 " + call + " " + setUp + " ae{2 01}}", 1490),
                "5002 > {2 09 " + call + " ae{2 c0}}",
                caller + " < {2 09 " + call + " ae{2 c0}}",
                "wait 500",
                "5002 > {2 0c " + call + " ab{2 10}}",
                caller + " < {2 0c " + call + " ab{2 10}}",
                "wait 500");
    }
}
