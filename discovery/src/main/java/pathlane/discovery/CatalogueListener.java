package pathlane.discovery;

/** Is told what happens to a {@link Catalogue}, within the call that brings it about. */
public interface CatalogueListener {

    /**
     * A service has changed, has come or has gone.
     *
     * @param revision the revision at which it did
     * @param removesOrDrains whether an endpoint was removed or began to drain: such changes are passed on before others
     */
    void changed(String service, Revision revision, boolean removesOrDrains);

    /** Everything up to this revision is held. Follows {@link #changed} at the source, a bookmark at a relay. */
    default void advanced(Revision revision) {}

    /** The whole catalogue is held from now on. */
    default void completed() {}
}
