package pathlane.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class FailedCallIndexTest {

    private record Entry(double firstArrivedAt, double notBefore, int failures, double lastFailedAt) {}

    /** Compares the index with a scanned reference map, over keys that collide in few slots, with expiry and eviction. */
    @Test
    void matchesReferenceMapWithSameBounds() {
        for (long seed = 1; seed <= 40; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int capacity = 1 + random.nextInt(12);
            FailedCallIndex index = new FailedCallIndex(capacity, 50);
            Map<Long, Entry> reference = new LinkedHashMap<>();
            double evictedNotBefore = Double.NEGATIVE_INFINITY;
            double now = 0;
            for (int step = 0; step < 3000; step++) {
                now += random.nextInt(8);
                double at = now;
                reference.values().removeIf(entry -> at - entry.lastFailedAt >= 50);
                long key = random.nextInt(20) - 3L;
                int entry = index.find(key, now);
                assertEquals(reference.containsKey(key), entry != FailedCallIndex.NONE, "seed " + seed + " step " + step);
                if (entry != FailedCallIndex.NONE) {
                    assertEquals(reference.get(key), new Entry(index.firstArrivedAt(entry), index.notBefore(entry),
                            index.failures(entry), reference.get(key).lastFailedAt));
                    assertEquals(key, index.firstCallId(entry));
                }
                if (random.nextInt(4) == 0) {
                    index.forget(key);
                    reference.remove(key);
                } else if (random.nextBoolean()) {
                    if (reference.remove(key) == null && reference.size() == capacity) {
                        Iterator<Entry> oldest = reference.values().iterator();
                        evictedNotBefore = Math.max(evictedNotBefore, oldest.next().notBefore);
                        oldest.remove();
                    }
                    reference.put(key, new Entry(now - 3, now + step % 7, step % 5 + 1, now));
                    index.recordFailure(key, now, key, now - 3, now + step % 7, step % 5 + 1);
                }
                assertEquals(reference.size(), index.size());
                assertEquals(evictedNotBefore, index.evictedNotBefore());
            }
        }
    }

    @Test
    void sizeNeverExceedsCapacityOverAMillionCalls() {
        FailedCallIndex index = new FailedCallIndex(1000, 1e9);
        for (long key = 0; key < 1_000_000; key++) {
            index.recordFailure(key * 64, key, key, key, key + 200, 1);
        }
        assertEquals(1000, index.size());
        assertTrue(index.find(999_999 * 64, 1e6) != FailedCallIndex.NONE);
        assertEquals(FailedCallIndex.NONE, index.find(0, 1e6));
        assertEquals(998_999 + 200, index.evictedNotBefore());
    }
}
