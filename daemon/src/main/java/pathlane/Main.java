package pathlane;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Optional;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import pathlane.sim.Wire;

/** Starts the program: {@code serve} is a real call controller on the platform,
 * {@code diameter} one for Diameter peers, {@code simhost} speaks the simulator's wire. */
public final class Main {

    private Main() { }

    /**
     * Runs one of the three.
     *
     * @param args {@code serve}, {@code diameter} and a file, either with {@code --group} and a file behind, the first also
     *             with {@code --discovery} and a file instead; or {@code simhost}
     */
    public static void main(String[] args) {
        // An operator's file may follow: --group FILE, or --discovery FILE.
        String option = args.length >= 3 ? args[args.length - 2] : "";
        boolean isDiscovery = option.equals("--discovery");
        int own = isDiscovery || option.equals("--group") ? args.length - 2 : args.length;
        Optional<Path> operators = own < args.length ? Optional.of(Path.of(args[own + 1])) : Optional.empty();
        String what = own == 2 ? args[0] + " FILE" : own == 1 ? args[0] : "";
        try {
            boolean hasNoSuchOption = operators.isPresent() && what.equals("simhost")
                    || isDiscovery && !what.equals("serve");
            switch (hasNoSuchOption ? "" : what) {
                case "serve" -> serve(operators, isDiscovery, SighupHandler.install());
                case "diameter FILE" -> {
                    logPlainly();
                    Node.startDiameter(Path.of(args[1]), operators, SighupHandler.install());
                }
                case "simhost" -> simulate();
                default -> {
                    System.err.println("usage: java -jar pathlane.jar serve [--group FILE | --discovery FILE]"
                            + " | diameter FILE [--group FILE] | simhost");
                    System.exit(2);
                }
            }
        } catch (Wire.Malformed | IllegalArgumentException | IOException e) {
            System.err.println("pathlane: " + e.getMessage());
            System.exit(1);
        }
    }

    private static void logPlainly() {
        // Before anything of the log is touched: it looks for its manager once, and SteadyLog is one itself.
        System.setProperty("java.util.logging.manager", SteadyLog.class.getName());
        // Asked for on the command line, where calls are to be followed through their steps: -Dpathlane.log=FINE.
        Level level = Level.parse(System.getProperty("pathlane.log", "INFO"));
        Logger calls = Logger.getLogger("calls");
        calls.setLevel(level);
        for (Handler handler : LogManager.getLogManager().getLogger("").getHandlers()) {
            handler.setLevel(level);
            handler.setFormatter(new SteadyLog.Lines());
        }
    }

    private static void serve(Optional<Path> operators, boolean isDiscovery, SighupHandler sighup) {
        logPlainly();
        String file = System.getenv("RELAY_CONFIG");
        if (file == null) {
            throw new IllegalArgumentException("RELAY_CONFIG does not name a configuration");
        }
        if (isDiscovery) {
            Node.startWithDiscovery(Path.of(file), operators.orElseThrow(), sighup);
        } else {
            Node.startPlatform(Path.of(file), operators, sighup);
        }
    }

    private static void simulate() throws IOException {
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
