package pathlane.config.file;

/**
 * How the process's file descriptors are divided. Clients and session servers each have a share of their own, so that
 * neither can starve the other; the rest is reserved for the process: its files, listening sockets, the event bus, and
 * connections that are being closed.
 *
 * @param limit maximum number of descriptors of the process
 * @param clients maximum number of client connections
 * @param servers maximum number of connections to session servers, however many there are: they are opened on demand
 */
public record Descriptors(int limit, int clients, int servers) {

    /** The limit if the configuration sets none. */
    private static final int DEFAULT_LIMIT = 1024;
    /** A start on the platform uses about 13; the others are for connections being closed or just accepted. */
    private static final int RESERVED = 48;
    /** Clients hold at most a third, by the platform's protocol. */
    private static final int CLIENT_DIVISOR = 3;
    /** Connections that clients have closed and this process has not closed yet. */
    private static final int CLOSING = 16;
    /** With fewer there is nothing to divide. */
    private static final int MIN_LIMIT = 12;
    /**
     * With fewer the process may run out: it holds 13 without any connection, and half of all go to clients and servers.
     * {@code DescriptorsTest} runs the program with exactly this many.
     */
    private static final int MIN_PROCESS_LIMIT = 48;

    static Descriptors forLimit(int limit) {
        if (limit < MIN_LIMIT) {
            throw new IllegalArgumentException("limits.sockets is too small to serve with: " + limit + ", at least "
                    + MIN_LIMIT + " are needed");
        }
        int available = limit - Math.min(RESERVED, limit / 2);
        int clients = Math.min(limit / CLIENT_DIVISOR + CLOSING, available / 2);
        return new Descriptors(limit, clients, available - clients);
    }

    /**
     * Checks that there are enough to serve with.
     *
     * @throws IllegalArgumentException with a one-line message if there are too few
     */
    void requireEnoughForProcess() {
        if (limit < MIN_PROCESS_LIMIT) {
            throw new IllegalArgumentException("limits.sockets is too small to serve with: " + limit + ", at least "
                    + MIN_PROCESS_LIMIT + " are needed");
        }
    }

    static Descriptors forDefaultLimit() {
        return forLimit(DEFAULT_LIMIT);
    }
}
