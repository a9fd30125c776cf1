package harrierloft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The README's example, run as it stands there. */
class EmbeddingTest {

    @Test
    void theExampleRuns() {
        List<String> done = new ArrayList<>();
        // example
        Gateway.Settings settings = new Gateway.Settings(
                List.of(new Gateway.CallClass(1500, 9000, 1, 0.25, 1, true, List.of()),
                        new Gateway.CallClass(2000, 9000, 3, 0.25, 1, true, List.of())),
                new Gateway.Rules(0.28, 15_000, 3, 2000, 500), 6, 5, 5, 500, true, false, -1);
        Gateway gateway = new Logic(settings, 42, new Gateway.Actions() {
            public void send(String call, long server, double giveUpAfterMs) { done.add("send " + call); }
            public void refuse(String call, double adviseMs) { done.add("refuse " + call); }
            public void fail(String call) { done.add("fail " + call); }
            public void cancel(String call, int attempt) { done.add("cancel " + call); }
            public void wakeAfter(double delayMs) { /* call gateway.woken(now) then */ }
            public void askForList() { /* subscribe to changes of the list */ }
        });
        gateway.listed(0, true, List.of(new Gateway.Listed(7, 0, Gateway.Mode.RUNNING, 0, 1)));
        gateway.arrived(10, new Gateway.Call("call-1", 0, "555-0100", 3000, 0, false));
        gateway.stands(60, "call-1", 0, 7, 50);
        // end of example
        assertEquals(List.of("send call-1"), done);
    }

    @Test
    void theReadmeShowsTheSameExample() throws Exception {
        String here = Files.readString(Path.of("src/test/java/harrierloft/EmbeddingTest.java"));
        String example = here.substring(here.indexOf("// example\n") + 11, here.indexOf("        // end of example"));
        assertTrue(Files.readString(Path.of("README.md")).contains(example.replaceAll("(?m)^ {8}", "")));
    }
}
