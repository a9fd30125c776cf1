package pathlane.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** The report period is learnt from the intervals between reports, and no single interval changes a known period. */
class ReportPeriodTest {

    private final ReportPeriod period = new ReportPeriod(ms(1000), ms(2500));

    private static Duration ms(long ms) {
        return Duration.ofMillis(ms);
    }

    @Test
    void startsFromTheMinimumAndLimitsAFirstInterval() {
        assertEquals(ms(1000), period.length());
        assertFalse(period.hasMeasurement());
        period.reported(ms(9000), null);
        assertEquals(ms(2500), period.length());
        assertTrue(period.hasMeasurement());
    }

    @Test
    void learnsALongerPeriodAndIgnoresJitter() {
        period.reported(ms(1900), null);
        assertEquals(ms(1900), period.length());
        period.reported(ms(1930), ms(1900));
        assertEquals(ms(1900), period.length());
        period.reported(ms(1240), ms(1020));
        assertEquals(ms(1000), period.length());
    }

    @Test
    void anIntervalLengthenedByABrokenPathIsIgnored() {
        period.reported(ms(1000), null);
        period.reported(ms(6000), ms(1000));
        assertEquals(ms(1000), period.length());
        period.reported(ms(1000), ms(6000));
        assertEquals(ms(1000), period.length());
        period.reported(ms(7000), null);
        assertEquals(ms(1000), period.length());
    }
}
