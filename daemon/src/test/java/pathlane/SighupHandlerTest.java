package pathlane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A reload requested during startup runs as soon as the reload action is set. */
class SighupHandlerTest {

    @Test
    void signalDuringStartupIsKept() {
        List<String> reloads = new ArrayList<>();
        SighupHandler sighup = new SighupHandler();
        sighup.signalled();
        sighup.signalled();
        sighup.onSignal(() -> reloads.add("reload"));
        assertEquals(List.of("reload"), reloads);
        sighup.signalled();
        assertEquals(List.of("reload", "reload"), reloads);
    }

    @Test
    void noReloadWithoutSignal() {
        SighupHandler sighup = new SighupHandler();
        sighup.onSignal(() -> {
            throw new AssertionError("reloaded unasked");
        });
    }
}
