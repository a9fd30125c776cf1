package pathlane;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.logging.Formatter;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;

/**
 * A {@code java.util.logging} manager that keeps its handlers open until the process exits. The default one closes them
 * as soon as shutdown begins, and log lines written while the last calls are answered would be lost.
 */
public final class PersistentLogManager extends LogManager {

    @Override
    public void reset() {
        // Handlers stay open until the process has exited.
    }

    /**
     * Formats a record as {@code date time LEVEL logger: text}. It avoids the JDK's date formats, because loading the
     * locales takes a sixth of the work of a start, and the controller is unavailable until it has started.
     */
    static final class LineFormatter extends Formatter {

        private static final int NANOS_PER_MILLI = 1_000_000;

        @Override
        public String format(LogRecord record) {
            LocalDateTime time = LocalDateTime.ofInstant(record.getInstant(), ZoneId.systemDefault());
            StringBuilder line = new StringBuilder().append(time.toLocalDate()).append(' ');
            appendPadded(line, time.getHour(), 2).append(':');
            appendPadded(line, time.getMinute(), 2).append(':');
            appendPadded(line, time.getSecond(), 2).append('.');
            appendPadded(line, time.getNano() / NANOS_PER_MILLI, 3).append(' ').append(record.getLevel().getName())
                    .append(' ')
                    .append(record.getLoggerName()).append(": ").append(formatMessage(record)).append('\n');
            if (record.getThrown() != null) {
                StringWriter trace = new StringWriter();
                record.getThrown().printStackTrace(new PrintWriter(trace));
                line.append(trace);
            }
            return line.toString();
        }

        private static StringBuilder appendPadded(StringBuilder line, int number, int digits) {
            String text = Integer.toString(number);
            return line.append("0".repeat(digits - text.length())).append(text);
        }
    }
}
