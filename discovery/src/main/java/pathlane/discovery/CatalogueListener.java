package pathlane.discovery;

/** Receives the events of a {@link Catalogue}, within the call that causes them. */
public interface CatalogueListener {

    /**
     * A service was changed, added or removed.
     *
     * @param revision the revision of the change
     * @param removesOrDrains whether an endpoint was removed or started draining: such changes are forwarded before others
     */
    void changed(String service, Revision revision, boolean removesOrDrains);

    /** All changes up to this revision are held. Follows {@link #changed} at the source, a bookmark at a relay. */
    default void advanced(Revision revision) {}

    /** The catalogue has become complete. */
    default void completed() {}
}
