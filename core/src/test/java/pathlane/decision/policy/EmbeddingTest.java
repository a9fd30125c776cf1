package pathlane.decision.policy;

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
import pathlane.decision.RoutingPolicy;
import pathlane.decision.ServerStatus;

/** Runs the example of the README, and checks that the README contains exactly this code. */
class EmbeddingTest {

    @Test
    void exampleRuns() {
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
        RoutingPolicy policy = new AdaptiveRoutingPolicy(settings, 42, new RoutingPolicy.Actions() {
            public void send(String callId, long serverId, double giveUpAfterMs) {
                done.add("send " + callId);
            }
            public void reject(String callId, double retryAfterMs) {
                done.add("reject " + callId);
            }
            public void fail(String callId) {
                done.add("fail " + callId);
            }
            public void cancel(String callId, int attempt) {
                done.add("cancel " + callId);
            }
            public void scheduleTimer(double delayMs) { /* call policy.timerFired(now) then */ }
            public void requestServerList() { /* subscribe to changes of the list */ }
        });
        policy.serversListed(0, true, List.of(new RoutingPolicy.ListedServer(7, 0, ServerStatus.RUNNING, 0, 1)));
        policy.requestArrived(10, new RoutingPolicy.Request("call-1", 0, "555-0100", 3000, 0, false));
        policy.callEstablished(60, "call-1", 0, 7, 50);
        // end of example
        assertEquals(List.of("send call-1"), done);
    }

    @Test
    void readmeContainsTheSameExample() throws Exception {
        String source = Files.readString(Path.of("src/test/java/pathlane/decision/policy/EmbeddingTest.java"));
        String example =
                source.substring(source.indexOf("// example\n") + 11, source.indexOf("        // end of example"));
        assertTrue(Files.readString(Path.of("../README.md")).contains(example.replaceAll("(?m)^ {8}", "")));
    }
}
