package pathlane.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonParser;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pathlane.config.Settings;
import pathlane.config.SettingsReader;

/** The README's example, run as it stands there. */
class EmbeddingTest {

    @Test
    void theExampleRuns() {
        List<String> done = new ArrayList<>();
        // example
        Settings settings = SettingsReader.read(JsonParser.parseString("""
                {"balancers": 6, "tick-ms": 5,
                 "lanes": [{"name": "status-check", "aim-ms": 1500, "deadline-ms": 9000},
                           {"name": "deadline-sign", "aim-ms": 800, "deadline-ms": 6000, "importance": 6}],
                 "ceilings": {"max-attempts": 5, "cancelling": true},
                 "rules": {"cold-from": 0.28, "cold-ms": 13000, "fall-multiple": 3, "fall-ms": 1500},
                 "specifics": {"clear-wait-ms": 200, "t1-ms": 500}}
                """).getAsJsonObject());
        Gateway gateway = new Logic(settings, 42, new Gateway.Actions() {
            public void send(String call, long server, double giveUpAfterMs) {
                done.add("send " + call);
            }
            public void refuse(String call, double adviseMs) {
                done.add("refuse " + call);
            }
            public void fail(String call) {
                done.add("fail " + call);
            }
            public void cancel(String call, int attempt) {
                done.add("cancel " + call);
            }
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
        String here = Files.readString(Path.of("src/test/java/pathlane/decision/EmbeddingTest.java"));
        String example = here.substring(here.indexOf("// example\n") + 11, here.indexOf("        // end of example"));
        assertTrue(Files.readString(Path.of("../README.md")).contains(example.replaceAll("(?m)^ {8}", "")));
    }
}
