package pathlane.discovery;

/**
 * What a subscriber holds of a service, as far as its publisher knows.
 *
 * @param digest the content's digest; of no meaning at {@link Revision#NONE}
 */
record HeldVersion(Revision revision, long digest) {

    /** Nothing was ever received. */
    static final HeldVersion NOTHING = new HeldVersion(Revision.NONE, 0);

    boolean isNothing() {
        return revision.equals(Revision.NONE);
    }
}
