package pathlane.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiPredicate;

/**
 * Entries by call id that are kept for a while: expired and excess ones are dropped, oldest first, so that memory is bounded
 * whatever the uptime or the number of clients. Runs on the event loop's thread.
 */
final class RetainedEntries<T> {

    private static final Duration RETENTION_PERIOD = Duration.ofSeconds(60);
    private static final int MAX_ENTRIES = 10_000;

    private record Entry<T>(T value, Instant since) {}

    private final Map<String, Entry<T>> oldestFirst = new LinkedHashMap<>();

    void put(String callId, T value, Instant now) {
        oldestFirst.remove(callId);
        oldestFirst.put(callId, new Entry<>(value, now));
        Iterator<Entry<T>> entries = oldestFirst.values().iterator();
        for (int left = oldestFirst.size(); left > 0 && (isExpired(entries.next(), now) || left > MAX_ENTRIES); left--) {
            entries.remove();
        }
    }

    private static boolean isExpired(Entry<?> entry, Instant now) {
        return entry.since.plus(RETENTION_PERIOD).isBefore(now);
    }

    Optional<T> find(String callId) {
        return Optional.ofNullable(oldestFirst.get(callId)).map(Entry::value);
    }

    void remove(String callId) {
        oldestFirst.remove(callId);
    }

    void removeIf(BiPredicate<String, T> condition) {
        oldestFirst.entrySet().removeIf(entry -> condition.test(entry.getKey(), entry.getValue().value));
    }

    int size() {
        return oldestFirst.size();
    }
}
