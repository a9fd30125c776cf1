package pathlane.discovery;

/**
 * A change as it is sent, shared by all subscribers that need the same one.
 *
 * @param held what a subscriber holds once it has applied it
 * @param removesOrDrains whether it may take an endpoint away or have one drain; such changes are sent before others
 */
record EncodedChange(Kind kind, byte[] bytes, HeldVersion held, boolean removesOrDrains) {

    /** The kinds of {@link ServiceChange}. */
    enum Kind { SNAPSHOT, DELTA, ABSENT }

    int size() {
        return bytes.length;
    }
}
