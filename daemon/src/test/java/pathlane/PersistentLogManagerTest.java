package pathlane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

/** The format of log lines, on which the on-call page and log parsers rely. */
class PersistentLogManagerTest {

    private static LogRecord record(String text, Object... values) {
        LogRecord record = new LogRecord(Level.WARNING, text);
        record.setLoggerName("callers");
        record.setParameters(values);
        record.setInstant(LocalDateTime.of(2026, 1, 2, 3, 4, 5, 67_000_000).atZone(ZoneId.systemDefault()).toInstant());
        return record;
    }

    @Test
    void formatsOneLine() {
        assertEquals("2026-01-02 03:04:05.067 WARNING callers: caller 7 closed: IDLE\n",
                new PersistentLogManager.LineFormatter().format(record("caller {0} closed: {1}", "7", "IDLE")));
    }

    @Test
    void stackTraceFollowsTheLine() {
        LogRecord record = record("fault");
        record.setThrown(new IllegalStateException("why"));
        String text = new PersistentLogManager.LineFormatter().format(record);
        assertTrue(text.startsWith("2026-01-02 03:04:05.067 WARNING callers: fault\njava.lang.IllegalStateException: why"));
    }
}
