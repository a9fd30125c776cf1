package pathlane.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** How often lines are told is learnt, and no single wait changes it. */
class ReportPeriodTest {

    private final ReportPeriod period = new ReportPeriod(ms(1000), ms(2500));

    private static Duration ms(long ms) {
        return Duration.ofMillis(ms);
    }

    @Test
    void beforeAnyIsSeenTheLeastIsTakenAndAFirstAloneSaysOnlySoMuch() {
        assertEquals(ms(1000), period.length());
        assertFalse(period.isSeen());
        period.reported(ms(9000), null);
        assertEquals(ms(2500), period.length());
        assertTrue(period.isSeen());
    }

    @Test
    void aLongerPeriodIsLearntAndChanceIsNot() {
        period.reported(ms(1900), null);
        assertEquals(ms(1900), period.length());
        period.reported(ms(1930), ms(1900));
        assertEquals(ms(1900), period.length());
        period.reported(ms(1240), ms(1020));
        assertEquals(ms(1000), period.length());
    }

    @Test
    void aPathThatWasBrokenOnceLengthensNothing() {
        period.reported(ms(1000), null);
        period.reported(ms(6000), ms(1000));
        assertEquals(ms(1000), period.length());
        period.reported(ms(1000), ms(6000));
        assertEquals(ms(1000), period.length());
        period.reported(ms(7000), null);
        assertEquals(ms(1000), period.length());
    }
}
