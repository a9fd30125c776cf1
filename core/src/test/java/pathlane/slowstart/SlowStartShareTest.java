package pathlane.slowstart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pathlane.config.Settings;
import pathlane.config.Settings.Rules;

class SlowStartShareTest {

    private static final double REQUESTS_PER_SECOND = 30;
    private static final long SERVER_ID = 9;
    private static final Rules RULES = new Rules(0.28, Duration.ofMillis(13_000), 3, Duration.ofMillis(1500),
            Duration.ofMillis(200));

    private static List<SlowStartShare> shares(int senders) {
        List<SlowStartShare> shares = new ArrayList<>();
        for (int index = 0; index < senders; index++) {
            SlowStartShare share =
                    new SlowStartShare(RULES, new Settings.SlowStartSenders(REQUESTS_PER_SECOND, senders, index));
            share.serverStarted(SERVER_ID, 1000);
            shares.add(share);
        }
        return shares;
    }

    /** What the rule allows in a window that begins at the given time after the start. */
    private static double allowed(double ageMs) {
        return 3 * REQUESTS_PER_SECOND / 1000 * (0.28 + 0.72 * ageMs / 13_000) * 1500;
    }

    /** For any number of senders with any changes of load, no window contains more than the rule allows. */
    @Test
    void allSendersTogetherStayWithinTheLimitInEveryWindow() {
        for (int senders : new int[] {1, 2, 3, 7, 8, 30, 200}) {
            SplittableRandom random = new SplittableRandom(senders);
            List<SlowStartShare> shares = shares(senders);
            List<Double> sent = new ArrayList<>();
            int idleSenders = 0;
            for (double now = 1000; now < 14_000; now += 5) {
                idleSenders = random.nextInt(100) == 0 ? random.nextInt(senders + 1) : idleSenders;
                for (int sender = 0; sender < senders; sender++) {
                    // Active senders send all they may; the shares of idle ones accumulate.
                    while (sender >= idleSenders && shares.get(sender).maySend(SERVER_ID, now)) {
                        shares.get(sender).recordSent(SERVER_ID);
                        sent.add(now);
                    }
                }
            }
            assertTrue(sent.size() > 20, senders + " senders sent " + sent.size());
            for (int i = 0; i < sent.size(); i++) {
                double from = sent.get(i);
                long inWindow = sent.stream().filter(at -> at >= from && at < from + 1500).count();
                assertTrue(inWindow <= allowed(from - 1000),
                        senders + " senders sent " + inWindow + " from " + from + ", allowed " + allowed(from - 1000));
            }
        }
    }

    @Test
    void singleSenderGetsHalfOfTheLimit() {
        SlowStartShare share = shares(1).get(0);
        int sent = 0;
        for (double now = 1000; now < 13_999; now++) {
            if (share.maySend(SERVER_ID, now)) {
                share.recordSent(SERVER_ID);
                sent++;
            }
        }
        assertEquals(0.5 * 3 * 30 * (0.28 * 13 + 0.72 * 13 / 2), sent, 1);
    }

    @Test
    void serverThatIsNotInSlowStartIsNotLimited() {
        SlowStartShare share = shares(200).get(199);
        assertFalse(share.maySend(SERVER_ID, 1001));
        assertTrue(share.maySend(SERVER_ID, 14_000));
        assertTrue(share.maySend(SERVER_ID + 1, 1001));
    }

    @Test
    void changedSenderCountChangesTheShare() {
        SlowStartShare share = shares(100).get(99);
        assertFalse(share.maySend(SERVER_ID, 1500));
        share.updateSenders(1, 0);
        assertTrue(share.maySend(SERVER_ID, 1500));
        assertThrows(IllegalArgumentException.class, () -> share.updateSenders(2, 2));
    }

    @Test
    void invalidSenderSettingsAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> new Settings.SlowStartSenders(0, 1, 0));
        assertThrows(IllegalArgumentException.class, () -> new Settings.SlowStartSenders(Double.NaN, 1, 0));
        assertThrows(IllegalArgumentException.class, () -> new Settings.SlowStartSenders(1, 0, 0));
    }
}
