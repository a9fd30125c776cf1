package pathlane.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** How often lines are told is learnt, and no single wait changes it. */
class LinesPeriodTest {

    private final LinesPeriod period = new LinesPeriod(ms(1000), ms(2500));

    private static Duration ms(long ms) {
        return Duration.ofMillis(ms);
    }

    @Test
    void beforeAnyIsSeenTheLeastIsTakenAndAFirstAloneSaysOnlySoMuch() {
        assertEquals(ms(1000), period.length());
        assertFalse(period.isSeen());
        period.told(ms(9000), null);
        assertEquals(ms(2500), period.length());
        assertTrue(period.isSeen());
    }

    @Test
    void aLongerPeriodIsLearntAndChanceIsNot() {
        period.told(ms(1900), null);
        assertEquals(ms(1900), period.length());
        period.told(ms(1930), ms(1900));
        assertEquals(ms(1900), period.length());
        period.told(ms(1240), ms(1020));
        assertEquals(ms(1000), period.length());
    }

    @Test
    void aPathThatWasBrokenOnceLengthensNothing() {
        period.told(ms(1000), null);
        period.told(ms(6000), ms(1000));
        assertEquals(ms(1000), period.length());
        period.told(ms(1000), ms(6000));
        assertEquals(ms(1000), period.length());
        period.told(ms(7000), null);
        assertEquals(ms(1000), period.length());
    }
}
