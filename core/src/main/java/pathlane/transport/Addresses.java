package pathlane.transport;

import java.net.InetSocketAddress;

/** Parses addresses in the format of configuration files. */
public final class Addresses {

    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /**
     * Parses {@code host:port}.
     *
     * @throws IllegalArgumentException if the text is not an address with a port from 0 to 65535
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= MAX_PORT) {
                return new InetSocketAddress(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // reported by the exception below
        }
        throw new IllegalArgumentException("'" + text + "' is not a valid host:port address");
    }
}
