package pathlane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks the apostrophes in log messages: a message with placeholders is a MessageFormat pattern, in which a single
 * apostrophe suppresses the placeholders after it, so it must be doubled; a message without placeholders is logged as it
 * is, so a doubled apostrophe would be printed twice.
 */
class LogPatternsTest {

    private static final Path ROOT = Path.of("..");
    private static final Pattern LOG_CALL = Pattern.compile(
            "\\b(?:log\\(Level\\.\\w+,|warn\\(|trace\\([^,\"]*,)\\s*((?:\"(?:[^\"\\\\]|\\\\.)*\"[\\s+]*)+)");
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\d");

    @Test
    void apostrophesAreDoubledOnlyInPatterns() throws IOException {
        List<String> wrong = new ArrayList<>();
        int count = 0;
        for (Path source : sources()) {
            Matcher call = LOG_CALL.matcher(Files.readString(source));
            while (call.find()) {
                count++;
                if (hasWrongApostrophe(call.group(1))) {
                    wrong.add(ROOT.relativize(source) + ": " + call.group(1).strip());
                }
            }
        }
        assertEquals(List.of(), wrong);
        assertTrue(count > 30, count + " log lines were found");
    }

    @Test
    void wrongApostrophesAreDetected() {
        assertTrue(hasWrongApostrophe("\"a request that can't be used: {1}\""));
        assertTrue(hasWrongApostrophe("\"the bus can''t be reached\""));
        assertTrue(!hasWrongApostrophe("\"a request that can''t be used: {1}\""));
        assertTrue(!hasWrongApostrophe("\"the bus can't be reached\""));
    }

    private static boolean hasWrongApostrophe(String pattern) {
        String withoutDoubled = pattern.replace("''", "\u0000");
        return PLACEHOLDER.matcher(withoutDoubled).find() ? withoutDoubled.contains("'") : withoutDoubled.contains("\u0000");
    }

    private static List<Path> sources() throws IOException {
        try (Stream<Path> found = Files.walk(ROOT)) {
            return found.filter(file -> file.toString().endsWith(".java") && file.toString().contains("src/main"))
                    .sorted().toList();
        }
    }
}
