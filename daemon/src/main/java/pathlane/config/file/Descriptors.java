package pathlane.config.file;

/**
 * How the descriptors that the program may hold are shared out. Callers and session servers each have a part of their
 * own, so that neither can starve the other; what is left is the program's: its files, its sockets that listen, the
 * event bus, and connections that are just closing.
 *
 * @param all how many the program may hold
 * @param callers connections of callers at most
 * @param servers connections to session servers at most, whatever their number: they are opened on demand
 */
public record Descriptors(int all, int callers, int servers) {

    /** Where a configuration does not say how many descriptors the program may hold. */
    private static final int USUAL = 1024;
    /** A start on the platform holds some 13; the others are for connections that are closing or have just been accepted. */
    private static final int OWN = 48;
    /** Callers hold at most a third, by the platform's protocol. */
    private static final int CALLERS_PART = 3;
    /** Closed by callers and not yet here. */
    private static final int CLOSING = 16;
    /** With fewer there is nothing to share out. */
    private static final int LEAST = 12;
    /**
     * With fewer a process may run out: it holds 13 without any connection, and half of them are callers' and servers'.
     * {@code DescriptorsTest} plays the program with just so many.
     */
    private static final int LEAST_OF_PROCESS = 48;

    static Descriptors within(int all) {
        if (all < LEAST) {
            throw new IllegalArgumentException("limits.sockets is too small to serve with: " + all + ", at least "
                    + LEAST + " are needed");
        }
        int left = all - Math.min(OWN, all / 2);
        int callers = Math.min(all / CALLERS_PART + CLOSING, left / 2);
        return new Descriptors(all, callers, left - callers);
    }

    /**
     * Refuses what a process can't serve with.
     *
     * @throws IllegalArgumentException with one plain sentence where there are too few
     */
    void requireEnoughForProcess() {
        if (all < LEAST_OF_PROCESS) {
            throw new IllegalArgumentException("limits.sockets is too small to serve with: " + all + ", at least "
                    + LEAST_OF_PROCESS + " are needed");
        }
    }

    static Descriptors usual() {
        return within(USUAL);
    }
}
