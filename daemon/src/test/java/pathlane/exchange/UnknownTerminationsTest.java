package pathlane.exchange;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A Diameter client terminates many sessions from before the program's start without naming their server, so that each
 * request goes to every server peer: beyond the rate limit it is answered as too busy, and nothing is lost silently.
 */
class UnknownTerminationsTest {

    private static final int BURST = 100;
    private static final int SUCCESS = 2001;
    private static final int TOO_BUSY = 3004;
    private static final Path EXCHANGES = Path.of("src/test/resources/exchanges/diameter");
    private static final String ORIGIN = " <264 \"controller.pathlane.example\"> <296 \"pathlane.example\">";

    private static String session(int number) {
        return "<263 \"client.example;" + number + "\">";
    }

    private static String request(int number, String flagsToHopByHop, String additional) {
        return String.format(
                "[%s 0000aaaa %s <264 \"client.example\"> <296 \"example\"> <283 \"pathlane.example\"> <258 u32:4>"
                        + " <461 \"signing@example\"> <416 u32:3> <415 u32:1>%s]",
                flagsToHopByHop, session(number), additional);
    }

    private static List<String> termination(int number, boolean isWithinRate) {
        String hopByHop = String.format("%08x", number);
        List<String> steps = new ArrayList<>(List.of("c > " + request(number, "c0 272 4 " + hopByHop, "")));
        for (int server = 1; isWithinRate && server <= 2; server++) {
            steps.add("387" + (server - 1) + " < " + request(number, "c0 272 4 -----",
                    " <282 \"client.example\"> <293 \"signing-" + server + ".pathlane.example\">"));
        }
        steps.add(String.format("c < [%s 272 4 %s 0000aaaa %s <268 u32:%d>%s <258 u32:4> <416 u32:3> <415 u32:1>]",
                isWithinRate ? "40" : "60", hopByHop, session(number), isWithinRate ? SUCCESS : TOO_BUSY, ORIGIN));
        return steps;
    }

    @Test
    void terminationsAboveTheRateAreAnsweredAsTooBusy() throws IOException {
        List<String> script = new ArrayList<>();
        for (int server = 1; server <= 2; server++) {
            script.addAll(List.of("accept 387" + (server - 1),
                    "387" + (server - 1) + " < [80 257 0 ----- -----" + ORIGIN
                            + " <257 00017f000001> <266 u32:0> 0000010d 00000010 \"pathlane\" <258 u32:4>]",
                    "387" + (server - 1) + " > [00 257 0 ec14bd55 00000001 <268 u32:2001> <264 \"signing-" + server
                            + ".pathlane.example\"> <296 \"pathlane.example\"> <258 u32:4>]"));
        }
        script.addAll(List.of("open c",
                "c > [80 257 0 00000001 00000001 <264 \"client.example\"> <296 \"example\"> <257 00017f000001> <266 u32:0>"
                        + " <269 \"stand-in\"> <258 u32:4>]",
                "c < [00 257 0 00000001 00000001 <268 u32:2001>" + ORIGIN
                        + " <257 00017f000001> <266 u32:0> 0000010d 00000010 \"pathlane\" <258 u32:4>]"));
        for (int number = 1; number <= BURST; number++) {
            script.addAll(termination(number, true));
        }
        script.addAll(termination(BURST + 1, false));
        script.add("wait 20");
        script.addAll(termination(BURST + 1, true));
        new ExchangeHarness(true, Files.readString(EXCHANGES.resolve("config.json"))).play(script);
    }
}
