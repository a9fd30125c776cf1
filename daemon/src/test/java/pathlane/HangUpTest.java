package pathlane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A reload that is asked for while the program starts is done once it can be. */
class HangUpTest {

    @Test
    void aSignalBeforeAnybodyCanReloadIsKept() {
        List<String> done = new ArrayList<>();
        HangUp hangUp = new HangUp();
        hangUp.came();
        hangUp.came();
        hangUp.does(() -> done.add("reload"));
        assertEquals(List.of("reload"), done);
        hangUp.came();
        assertEquals(List.of("reload", "reload"), done);
    }

    @Test
    void nothingIsReloadedUnasked() {
        HangUp hangUp = new HangUp();
        hangUp.does(() -> {
            throw new AssertionError("reloaded unasked");
        });
    }
}
