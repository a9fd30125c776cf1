package pathlane.exchange;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A client releases many calls at once that were established before the program's start, so their servers are unknown: each
 * release must reach every session server, within the rate limit, or the calls would never end.
 */
class UnknownReleasesTest {

    private static final int BURST = 100;
    private static final int QUEUE_LIMIT = 256;

    private static String release(int call) {
        return String.format("{2 0c %016x ab{2 10}}", call);
    }

    @Test
    void releasesAboveTheRateAreQueuedAndOnlyThoseAboveTheQueueLimitAreLost() throws IOException {
        List<String> script = new ArrayList<>(List.of("accept 5001 first", "accept 5002 second", "open c"));
        StringBuilder all = new StringBuilder("c >");
        for (int call = 1; call <= BURST + QUEUE_LIMIT + 1; call++) {
            all.append(' ').append(release(call));
        }
        script.add(all.toString());
        for (int call = 1; call <= BURST; call++) {
            script.addAll(List.of("first < " + release(call), "second < " + release(call)));
        }
        for (int call = BURST + 1; call <= BURST + QUEUE_LIMIT; call++) {
            script.addAll(List.of("wait 19", "wait 1", "first < " + release(call), "second < " + release(call)));
        }
        script.add("wait 1000");
        new ExchangeHarness(false, Files.readString(Path.of("src/test/resources/exchanges/platform/config.json")))
                .play(script);
    }
}
