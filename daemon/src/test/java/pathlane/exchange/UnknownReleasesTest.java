package pathlane.exchange;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A caller releases many calls at once that stand from before the program's start: each session server hears of each. */
class UnknownReleasesTest {

    private static final int AT_ONCE = 100;
    private static final int WAITING = 256;

    private static String release(int call) {
        return String.format("{2 0c %016x ab{2 10}}", call);
    }

    @Test
    void releasesBeyondTheRateWaitAndOnlyThoseBeyondTheMemoryAreLost() throws IOException {
        List<String> script = new ArrayList<>(List.of("accept 5001 first", "accept 5002 second", "open c"));
        StringBuilder all = new StringBuilder("c >");
        for (int call = 1; call <= AT_ONCE + WAITING + 1; call++) {
            all.append(' ').append(release(call));
        }
        script.add(all.toString());
        for (int call = 1; call <= AT_ONCE; call++) {
            script.addAll(List.of("first < " + release(call), "second < " + release(call)));
        }
        for (int call = AT_ONCE + 1; call <= AT_ONCE + WAITING; call++) {
            script.addAll(List.of("wait 19", "wait 1", "first < " + release(call), "second < " + release(call)));
        }
        script.add("wait 1000");
        new ExchangeHarness(false, Files.readString(Path.of("src/test/resources/exchanges/platform/config.json")))
                .play(script);
    }
}
