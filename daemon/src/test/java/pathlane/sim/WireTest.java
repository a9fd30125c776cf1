package pathlane.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The simulator's protocol adapter: input, replies, and errors for invalid lines. */
class WireTest {

    private static final String ENV = "{\"balancers\":1,\"unheard-of\":{\"a\":[1]},\"tick-ms\":5,"
            + "\"lanes\":[{\"aim-ms\":1000,\"deadline-ms\":9000,\"importance\":1}],"
            + "\"ceilings\":{\"max-attempts\":3,\"cancelling\":true},"
            + "\"rules\":{\"cold-from\":0.3,\"cold-ms\":1000,\"fall-multiple\":2,\"fall-ms\":1000},"
            + "\"specifics\":{\"clear-wait-ms\":200}}";

    private final Wire wire = new Wire();

    private String feed(String... lines) {
        String reply = null;
        for (String line : lines) {
            reply = wire.readLine(line.replace(' ', '\t'));
        }
        return reply;
    }

    private void startInstance() {
        wire.readLine("tick\t0");
        wire.readLine("at\t3");
        wire.readLine("hello\t18446744073709551615\t" + ENV);
        feed("roster 0 1", "row 0 1 active - 0 4000000000 0", "at 3", "members 0 C 41", "go");
    }

    private void assertMalformed(String field, String... lines) {
        String message = assertThrows(Wire.Malformed.class, () -> feed(lines)).getMessage();
        assertTrue(message.contains("field " + field) && message.startsWith("line "), message);
    }

    @Test
    void emptyBatchGetsAnEmptyReply() {
        assertEquals("end\n", feed("tick 1.5", "go"));
    }

    @Test
    void callIsSentAndAnswered() {
        startInstance();
        String reply = feed("tick 10", "at 3", "incoming e12b454a5d3a91c4 0 0 line-x 3000 - 0 1 -1 0 9 9", "go");
        assertTrue(reply.startsWith("from\t3\nsend\te12b454a5d3a91c4\t4000000000\t"), reply);
        assertEquals("end\n", feed("tick 50", "at 3", "accepted e12b454a5d3a91c4 4000000000 40 0", "go"));
        assertEquals("end\n", feed("tick 90", "at 3",
                "returned e12b454a5d3a91c4 80 1 0 200 4000000000 - free:3,size:9,unheard-of:7", "go"));
    }

    @Test
    void absentValuesAreAllowed() {
        startInstance();
        assertTrue(feed("tick 10", "at 3", "incoming e12b454a5d3a91c4 0 - k 3000", "go").contains("send"));
        assertEquals("end\n", feed("tick 20", "at 3", "returned e12b454a5d3a91c4 5 1 0 200 4000000000", "go"));
    }

    @Test
    void errorNamesTheInvalidField() {
        assertMalformed("message", "nonsense");
        startInstance();
        assertMalformed("message", "tick 1", "nonsense 1");
        assertMalformed("who", "at 9", "bell 1");
        assertMalformed("grace-ms", "at 3", "incoming e12b454a5d3a91c4 0 0 k soon");
        assertMalformed("code", "returned e12b454a5d3a91c4 5 1 0 999 4000000000");
        assertMalformed("handle", "abandoned");
        assertMalformed("sheet", "members 5 F 1");
        assertMalformed("metrics", "sampled 4000000000 200 0 free3");
        assertMalformed("message", "roster 1 2", "go");
    }

    @Test
    void errorNamesTheInvalidSetting() {
        feed("tick 0", "at 0");
        String message = assertThrows(Wire.Malformed.class,
                () -> wire.readLine("hello\t1\t" + ENV.replace("\"aim-ms\":1000", "\"aim-ms\":0"))).getMessage();
        assertTrue(message.contains("aim"), message);
        assertThrows(Wire.Malformed.class, () -> wire.readLine("hello\t1\t{"));
        assertThrows(Wire.Malformed.class, () -> wire.readLine("hello\t1\t[]"));
    }

    @Test
    void inputMayEndOnlyBetweenBatches() {
        wire.endOfInput();
        assertNull(wire.readLine("tick\t1"));
        assertThrows(Wire.Malformed.class, wire::endOfInput);
    }

    @Test
    void killedInstanceIsRemoved() {
        startInstance();
        feed("tick 10", "at 3", "killed", "go");
        assertMalformed("who", "tick 11", "at 3", "bell 0");
    }
}
