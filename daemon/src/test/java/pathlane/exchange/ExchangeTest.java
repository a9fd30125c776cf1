package pathlane.exchange;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Plays each recorded exchange below {@code src/test/resources/exchanges} against its front. */
class ExchangeTest {

    private static final Path EXCHANGES = Path.of("src/test/resources/exchanges");

    @TestFactory
    Stream<DynamicTest> exchanges() throws IOException {
        List<Path> files;
        try (Stream<Path> found = Files.walk(EXCHANGES)) {
            files = found.filter(file -> file.toString().endsWith(".txt")).sorted().toList();
        }
        return files.stream().map(file -> DynamicTest.dynamicTest(EXCHANGES.relativize(file).toString(), () -> {
            String config = Files.readString(file.resolveSibling("config.json"));
            new ExchangeHarness(file.getParent().getFileName().toString().startsWith("diameter"), config)
                    .play(Files.readAllLines(file));
        }));
    }
}
