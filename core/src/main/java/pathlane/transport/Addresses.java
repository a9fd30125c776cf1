package pathlane.transport;

import java.net.InetSocketAddress;

/** Addresses as configuration files write them. */
public final class Addresses {

    private static final int MOST_PORT = 65_535;

    private Addresses() {}

    /**
     * Reads {@code host:port}.
     *
     * @throws IllegalArgumentException with a sentence where the text is no address with a port from 0 to 65535
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= MOST_PORT) {
                return new InetSocketAddress(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw new IllegalArgumentException("'" + text + "' is not an address with a port");
    }
}
