package pathlane.exchange;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * On both fronts a client may send messages up to the permitted burst and rate; the first message above them closes its
 * connection. Without the limit, one client could keep the event loop busy.
 */
class FloodTest {

    private static final int BURST = 5000;
    private static final int PER_MILLISECOND = 5;

    private static ExchangeHarness harness(String front) throws IOException {
        return new ExchangeHarness(front.equals("diameter"),
                Files.readString(Path.of("src/test/resources/exchanges", front, "config.json")));
    }

    @Test
    void aPlatformClientAboveTheRateIsDisconnected() throws IOException {
        String message = "{2 06 e12b454a5d3a91c4} ";
        harness("platform").play(List.of("accept 5001", "accept 5002", "open c", "c > " + message.repeat(BURST), "wait 1",
                "c > " + message.repeat(PER_MILLISECOND), "c > " + message, "c closed PROTOCOL_ERROR"));
    }

    @Test
    void aDiameterClientAboveTheRateIsDisconnected() throws IOException {
        String answer = "[00 280 0 00000009 00000009 <268 u32:2001>] ";
        ExchangeHarness harness = harness("diameter");
        harness.play(List.of("refuse 3870", "refuse 3871", "open c",
                "c > [80 257 0 00000001 00000001 <264 \"client.example\"> <296 \"example\"> <257 00017f000001>"
                        + " <266 u32:0> <269 \"stand-in\"> <258 u32:4>]",
                "c < [00 257 0 00000001 00000001 <268 u32:2001> <264 \"controller.pathlane.example\">"
                        + " <296 \"pathlane.example\"> <257 00017f000001> <266 u32:0> 0000010d 00000010 \"pathlane\""
                        + " <258 u32:4>]",
                "c > " + answer.repeat(BURST - 1), "wait 1", "c > " + answer.repeat(PER_MILLISECOND),
                "c > " + answer,
                "c closed PROTOCOL_ERROR"));
    }
}
