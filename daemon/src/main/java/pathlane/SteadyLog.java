package pathlane;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.logging.Formatter;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;

/**
 * The language's own log, kept to the end: it would close its handlers as soon as the process is asked to end, and
 * what is said while the last calls are answered would be lost.
 */
public final class SteadyLog extends LogManager {

    @Override
    public void reset() {
        // Handlers stay until the process has ended.
    }

    /**
     * A line is {@code date time LEVEL part: text}. Written without the language's date formats: to load its locales
     * takes a sixth of a start's work, and a node is missed until it has started.
     */
    static final class Lines extends Formatter {

        private static final int MILLIS = 1_000_000;

        @Override
        public String format(LogRecord record) {
            LocalDateTime time = LocalDateTime.ofInstant(record.getInstant(), ZoneId.systemDefault());
            StringBuilder line = new StringBuilder().append(time.toLocalDate()).append(' ');
            padded(line, time.getHour(), 2).append(':');
            padded(line, time.getMinute(), 2).append(':');
            padded(line, time.getSecond(), 2).append('.');
            padded(line, time.getNano() / MILLIS, 3).append(' ').append(record.getLevel().getName()).append(' ')
                    .append(record.getLoggerName()).append(": ").append(formatMessage(record)).append('\n');
            if (record.getThrown() != null) {
                StringWriter trace = new StringWriter();
                record.getThrown().printStackTrace(new PrintWriter(trace));
                line.append(trace);
            }
            return line.toString();
        }

        private static StringBuilder padded(StringBuilder line, int number, int digits) {
            String text = Integer.toString(number);
            return line.append("0".repeat(digits - text.length())).append(text);
        }
    }
}
