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

/** Entry point: {@code serve} runs a call controller on the platform, {@code diameter} one for Diameter peers, and
 * {@code simhost} the routing policy behind the simulator's text protocol. */
public final class Main {

    private Main() {}

    /**
     * Runs one of the three modes.
     *
     * @param args {@code serve}, {@code diameter FILE} or {@code simhost}; the first two take an optional trailing
     *             {@code --group FILE}, and {@code serve} may take {@code --discovery FILE} instead
     */
    public static void main(String[] args) {
        // The last two arguments may be --group FILE or --discovery FILE.
        String option = args.length >= 3 ? args[args.length - 2] : "";
        boolean isDiscovery = option.equals("--discovery");
        int ownArguments = isDiscovery || option.equals("--group") ? args.length - 2 : args.length;
        Optional<Path> operatorFile =
                ownArguments < args.length ? Optional.of(Path.of(args[ownArguments + 1])) : Optional.empty();
        String mode = ownArguments == 2 ? args[0] + " FILE" : ownArguments == 1 ? args[0] : "";
        try {
            boolean hasInvalidOption = operatorFile.isPresent() && mode.equals("simhost")
                    || isDiscovery && !mode.equals("serve");
            switch (hasInvalidOption ? "" : mode) {
                case "serve" -> serve(operatorFile, isDiscovery, SighupHandler.install());
                case "diameter FILE" -> {
                    configureLogging();
                    Node.startDiameter(Path.of(args[1]), operatorFile, SighupHandler.install());
                }
                case "simhost" -> runSimulatorHost();
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

    private static void configureLogging() {
        // Must precede the first use of the logging API, which reads this property only once.
        System.setProperty("java.util.logging.manager", PersistentLogManager.class.getName());
        // -Dpathlane.log=FINE on the command line traces each step of a call.
        Level level = Level.parse(System.getProperty("pathlane.log", "INFO"));
        Logger callLogger = Logger.getLogger("calls");
        callLogger.setLevel(level);
        for (Handler handler : LogManager.getLogManager().getLogger("").getHandlers()) {
            handler.setLevel(level);
            handler.setFormatter(new PersistentLogManager.LineFormatter());
        }
    }

    private static void serve(Optional<Path> operatorFile, boolean isDiscovery, SighupHandler sighup) {
        configureLogging();
        String file = System.getenv("RELAY_CONFIG");
        if (file == null) {
            throw new IllegalArgumentException("RELAY_CONFIG does not name a configuration");
        }
        if (isDiscovery) {
            Node.startWithDiscovery(Path.of(file), operatorFile.orElseThrow(), sighup);
        } else {
            Node.startPlatform(Path.of(file), operatorFile, sighup);
        }
    }

    private static void runSimulatorHost() throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        OutputStream out = System.out;
        Wire wire = new Wire();
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String reply = wire.readLine(line);
            if (reply != null) {
                out.write(reply.getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        }
        wire.endOfInput();
    }
}
