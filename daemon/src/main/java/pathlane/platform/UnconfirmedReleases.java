package pathlane.platform;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Releases that were written to a connection and that the server may not have read: nothing has been received since. Once
 * the connection has ended they are sent on the next one too, so that no call stands for good.
 */
final class UnconfirmedReleases {

    private final Map<String, SentMessage> releases = new LinkedHashMap<>();
    private final int most;

    /** Remembers so many at the most. */
    UnconfirmedReleases(int most) {
        this.most = most;
    }

    void add(String call, SentMessage release) {
        if (releases.size() < most) {
            releases.put(call, release);
        }
    }

    /** The server has read what was written before that time. */
    void confirm(Instant before) {
        releases.values().removeIf(release -> release.sentAt().isBefore(before));
    }

    void forEach(BiConsumer<String, byte[]> receiver) {
        releases.forEach((call, release) -> receiver.accept(call, release.bytes()));
    }
}
