package pathlane.lab.capacity.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pathlane.core.CloseReason;
import pathlane.lab.capacity.Limits;

class ListCostTest {

    private final Logger log = Logger.getLogger("");
    private Level before;

    @BeforeEach
    void disableLogging() {
        before = log.getLevel();
        log.setLevel(Level.OFF);
    }

    @AfterEach
    void restoreLog() {
        log.setLevel(before);
    }

    @Test
    void theLongestCompleteListIsAppliedAndOneServerMoreIsRejected() {
        assertEquals(Optional.empty(), ListCost.rejection(Limits.MAX_LIST_SERVERS));
        assertEquals(Optional.of(CloseReason.PROTOCOL_ERROR), ListCost.rejection(Limits.MAX_LIST_SERVERS + 1));
    }
}
