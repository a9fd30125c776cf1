import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, a line each with the time since the start. */
final class Rec {

    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Rec(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double now() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void line(String text) {
        out.printf("%9.3f %s%n", now(), text);
    }

    /** A line that is shown to the one who runs the case as well. */
    synchronized void say(String text) {
        line(text);
        out.flush();
        System.out.printf("%9.3f %s%n", now(), text);
    }

    synchronized void close() {
        out.flush();
        out.close();
    }
}
