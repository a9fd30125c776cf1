package pathlane.discovery;

/**
 * An encoded change, shared by all subscribers that need it.
 *
 * @param held the version that a subscriber holds once it has applied the change
 * @param removesOrDrains whether the change may remove an endpoint or start draining one; such changes are sent before
 *                        others
 */
record EncodedChange(Kind kind, byte[] bytes, HeldVersion held, boolean removesOrDrains) {

    /** The kinds of {@link ServiceChange}. */
    enum Kind { SNAPSHOT, DELTA, ABSENT }

    int size() {
        return bytes.length;
    }
}
