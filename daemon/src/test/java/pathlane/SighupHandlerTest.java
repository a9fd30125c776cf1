package pathlane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A reload that is asked for while the program starts is done once it can be. */
class SighupHandlerTest {

    @Test
    void aSignalBeforeAnybodyCanReloadIsKept() {
        List<String> done = new ArrayList<>();
        SighupHandler sighup = new SighupHandler();
        sighup.signalled();
        sighup.signalled();
        sighup.onSignal(() -> done.add("reload"));
        assertEquals(List.of("reload"), done);
        sighup.signalled();
        assertEquals(List.of("reload", "reload"), done);
    }

    @Test
    void nothingIsReloadedUnasked() {
        SighupHandler sighup = new SighupHandler();
        sighup.onSignal(() -> {
            throw new AssertionError("reloaded unasked");
        });
    }
}
