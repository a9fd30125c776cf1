package pathlane.core;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Releases that were written to a connection and that the server may not have read. When the connection ends they are sent
 * again on the next one, so that no call stays established indefinitely. Runs on the event loop's thread.
 *
 * @param <M> a release in the form in which the front sends it
 */
public final class UnconfirmedReleases<M> {

    private record SentRelease<M>(M message, Instant sentAt) {}

    private final Map<String, SentRelease<M>> releases = new LinkedHashMap<>();
    private final int maxEntries;

    /** Creates an empty collection; releases beyond {@code maxEntries} are not remembered. */
    public UnconfirmedReleases(int maxEntries) {
        this.maxEntries = maxEntries;
    }

    /** Adds a release that is written now. */
    public void add(String callId, M release, Instant now) {
        if (releases.size() < maxEntries) {
            releases.put(callId, new SentRelease<>(release, now));
        }
    }

    /** The server has read what was written before that time. */
    public void confirmSentBefore(Instant time) {
        releases.values().removeIf(release -> release.sentAt().isBefore(time));
    }

    /** The server has answered the release of this call. */
    public void confirm(String callId) {
        releases.remove(callId);
    }

    /** Passes each release to the receiver, in the order in which they were written. */
    public void forEach(BiConsumer<String, M> receiver) {
        releases.forEach((callId, release) -> receiver.accept(callId, release.message()));
    }

    /** Forgets all releases. */
    public void clear() {
        releases.clear();
    }
}
