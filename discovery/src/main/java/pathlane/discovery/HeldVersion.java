package pathlane.discovery;

/**
 * The version of a service that a subscriber holds, as known to its publisher.
 *
 * @param digest the content's digest; meaningless at {@link Revision#NONE}
 */
record HeldVersion(Revision revision, long digest) {

    /** No state was received yet. */
    static final HeldVersion NOTHING = new HeldVersion(Revision.NONE, 0);

    boolean isNothing() {
        return revision.equals(Revision.NONE);
    }
}
