package harrierloft;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Starts the adapter: {@code drill} answers the wire on standard input and output until the input ends. */
public final class Main {

    private Main() { }

    /**
     * Runs the adapter.
     *
     * @param args the one word {@code drill}
     */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("drill")) {
            System.err.println("usage: java -jar harrierloft.jar drill");
            System.exit(2);
        }
        try {
            drill();
        } catch (Wire.Malformed | IOException e) {
            System.err.println("harrierloft: " + e.getMessage());
            System.exit(1);
        }
    }

    private static void drill() throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        OutputStream out = System.out;
        Wire wire = new Wire();
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String reply = wire.line(line);
            if (reply != null) {
                out.write(reply.getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        }
        wire.end();
    }
}
