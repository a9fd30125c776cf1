package pathlane.platform;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Releases that were written to a connection and that the server may not have read, as nothing has been received since. When
 * the connection ends they are sent again on the next one, so that no call stays established indefinitely.
 */
final class UnconfirmedReleases {

    private final Map<String, SentMessage> releases = new LinkedHashMap<>();
    private final int maxEntries;

    /** Creates an empty collection; releases beyond {@code maxEntries} are not remembered. */
    UnconfirmedReleases(int maxEntries) {
        this.maxEntries = maxEntries;
    }

    void add(String callId, SentMessage release) {
        if (releases.size() < maxEntries) {
            releases.put(callId, release);
        }
    }

    /** The server has read what was written before that time. */
    void confirm(Instant before) {
        releases.values().removeIf(release -> release.sentAt().isBefore(before));
    }

    void forEach(BiConsumer<String, byte[]> receiver) {
        releases.forEach((callId, release) -> receiver.accept(callId, release.bytes()));
    }
}
