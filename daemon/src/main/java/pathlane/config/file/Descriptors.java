package pathlane.config.file;

/**
 * How the descriptors that the program may hold are shared out. Callers and session servers each have a part of their
 * own, so that neither can starve the other; what is left is the program's: its files, its sockets that listen, the
 * event bus, and connections that are just closing.
 *
 * @param callers connections of callers at most
 * @param servers connections to session servers at most, whatever their number: they are opened on demand
 */
public record Descriptors(int callers, int servers) {

    /** Where a configuration does not say how many descriptors the program may hold. */
    private static final int USUAL = 1024;
    /** A start on the platform holds some 20; the others are for connections that are closing. */
    private static final int OWN = 48;
    /** Callers hold at most a third, by the platform's protocol. */
    private static final int CALLERS_PART = 3;
    /** Closed by callers and not yet here. */
    private static final int CLOSING = 16;
    private static final int LEAST = 12;

    static Descriptors within(int all) {
        if (all < LEAST) {
            throw new IllegalArgumentException("limits.sockets is too small to serve with: " + all + ", at least "
                    + LEAST + " are needed");
        }
        int left = all - Math.min(OWN, all / 2);
        int callers = Math.min(all / CALLERS_PART + CLOSING, left / 2);
        return new Descriptors(callers, left - callers);
    }

    static Descriptors usual() {
        return within(USUAL);
    }
}
