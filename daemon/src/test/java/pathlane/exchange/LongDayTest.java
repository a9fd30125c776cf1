package pathlane.exchange;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a memory leak in a long run: every second one server is replaced under a new id, and a new client makes one
 * call and keeps its connection open.
 */
class LongDayTest {

    private static final Path CONFIG = Path.of("src/test/resources/exchanges/platform/config.json");
    /** Retention is steady from here on, as finished calls are remembered for a minute. */
    private static final int WARM_UP_SECONDS = 100;
    private static final int TOTAL_SECONDS = 1000;
    private static final int OPEN_CLIENTS = 12;
    /** Permitted variation between seconds. */
    private static final int TOLERANCE = 5;

    @Test
    void retainedEntriesDoNotGrowOverTime() throws IOException {
        ExchangeHarness harness = new ExchangeHarness(false, Files.readString(CONFIG));
        harness.play(List.of("accept 9092", "9092 < 0000000000000003", "accept 5001", "accept 5002"));
        int afterWarmUp = 0;
        for (int second = 1; second <= TOTAL_SECONDS; second++) {
            harness.play(second(second));
            afterWarmUp = second == WARM_UP_SECONDS ? harness.retainedCount() : afterWarmUp;
        }
        int retained = harness.retainedCount();
        int limit = afterWarmUp + TOLERANCE;
        assertTrue(retained <= limit, () -> retained + " entries retained, more than the permitted " + limit + " entries");
    }

    private static List<String> second(int second) {
        String client = "c" + second % OPEN_CLIENTS;
        String call = String.format("%016x", second);
        String callRequest = "81{2 \"status-check\"} 84{2 \"%d\"} 8d{2 \"" + call + "\"}";
        return List.of(
                second > OPEN_CLIENTS ? client + " closed IDLE" : "# not open yet",
                // Server N is added and N - 1 removed; some reuse the address of a removed server.
                String.format("9092 > {4 %016x 02 %08x 7f000001 %04x 00 00 00 0005 000003e8 0000000000000000"
                        + " %08x 7f000001 %04x 02 00 00 0005 000003e8 0000000000000000}", second + 3,
                        second + 10, 6000 + second % 3, second + 9, 6000 + (second + 2) % 3),
                second > 1 ? 6000 + (second + 2) % 3 + " closed DELISTED" : "# none has gone yet",
                "accept " + (6000 + second % 3),
                "open " + client,
                String.format(client + " > {2 01 " + call + " " + callRequest + " 90{2 \"dest:1;width:1;via:-1\"} ae{2 01}}",
                        1500),
                String.format("5002 < {2 01 " + call + " " + callRequest + " ae{2 01}}", 1490),
                "5002 > {2 09 " + call + " ae{2 c0}}",
                client + " < {2 09 " + call + " ae{2 c0}}",
                "wait 500",
                "5002 > {2 0c " + call + " ab{2 10}}",
                client + " < {2 0c " + call + " ab{2 10}}",
                "wait 500");
    }
}
