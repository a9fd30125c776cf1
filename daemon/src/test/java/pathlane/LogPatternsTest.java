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
 * Guards what log lines say: in a pattern with places for values an apostrophe is written twice, or the values after it
 * are never written; in a line without places it is written once, or it comes out twice.
 */
class LogPatternsTest {

    private static final Path ROOT = Path.of("..");
    private static final Pattern CALL = Pattern.compile(
            "\\b(?:log\\(Level\\.\\w+,|warn\\(|trace\\([^,\"]*,)\\s*((?:\"(?:[^\"\\\\]|\\\\.)*\"[\\s+]*)+)");
    private static final Pattern PLACE = Pattern.compile("\\{\\d");

    @Test
    void everyPatternWritesItsValues() throws IOException {
        List<String> wrong = new ArrayList<>();
        int seen = 0;
        for (Path source : sources()) {
            Matcher call = CALL.matcher(Files.readString(source));
            while (call.find()) {
                seen++;
                if (isWrong(call.group(1))) {
                    wrong.add(ROOT.relativize(source) + ": " + call.group(1).strip());
                }
            }
        }
        assertEquals(List.of(), wrong);
        assertTrue(seen > 30, seen + " log lines were found");
    }

    @Test
    void whatIsWrongIsFound() {
        assertTrue(isWrong("\"a set-up that can't be used: {1}\""));
        assertTrue(isWrong("\"the bus can''t be reached\""));
        assertTrue(!isWrong("\"a set-up that can''t be used: {1}\""));
        assertTrue(!isWrong("\"the bus can't be reached\""));
    }

    private static boolean isWrong(String pattern) {
        String text = pattern.replace("''", "\u0000");
        return PLACE.matcher(text).find() ? text.contains("'") : text.contains("\u0000");
    }

    private static List<Path> sources() throws IOException {
        try (Stream<Path> found = Files.walk(ROOT)) {
            return found.filter(file -> file.toString().endsWith(".java") && file.toString().contains("src/main"))
                    .sorted().toList();
        }
    }
}
