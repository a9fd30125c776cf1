package pathlane.discovery;

/**
 * What a subscriber holds of a service, as far as its publisher knows.
 *
 * @param digest the content's digest; of no meaning at {@link Revision#NONE}
 */
record Held(Revision revision, long digest) {

    /** Nothing was ever received. */
    static final Held NOTHING = new Held(Revision.NONE, 0);

    boolean isNothing() {
        return revision.equals(Revision.NONE);
    }
}
