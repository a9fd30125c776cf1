package pathlane.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class FailedCallIndexTest {

    private record Plain(double firstAt, double notBefore, int tries, double putAt) {}

    /** Against a plain map that is scanned, over keys that crowd into few slots, with expiry and overflow. */
    @Test
    void itKeepsWhatAPlainMapOfTheSameBoundsKeeps() {
        for (long seed = 1; seed <= 40; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int capacity = 1 + random.nextInt(12);
            FailedCallIndex index = new FailedCallIndex(capacity, 50);
            Map<Long, Plain> plain = new LinkedHashMap<>();
            double barrier = Double.NEGATIVE_INFINITY;
            double now = 0;
            for (int step = 0; step < 3000; step++) {
                now += random.nextInt(8);
                double at = now;
                plain.values().removeIf(entry -> at - entry.putAt >= 50);
                long key = random.nextInt(20) - 3L;
                int entry = index.find(key, now);
                assertEquals(plain.containsKey(key), entry != FailedCallIndex.NONE, "seed " + seed + " step " + step);
                if (entry != FailedCallIndex.NONE) {
                    assertEquals(plain.get(key), new Plain(index.firstArrivedAt(entry), index.notBefore(entry),
                            index.failures(entry), plain.get(key).putAt));
                    assertEquals(key, index.firstCallId(entry));
                }
                if (random.nextInt(4) == 0) {
                    index.forget(key);
                    plain.remove(key);
                } else if (random.nextBoolean()) {
                    if (plain.remove(key) == null && plain.size() == capacity) {
                        Iterator<Plain> oldest = plain.values().iterator();
                        barrier = Math.max(barrier, oldest.next().notBefore);
                        oldest.remove();
                    }
                    plain.put(key, new Plain(now - 3, now + step % 7, step % 5 + 1, now));
                    index.recordFailure(key, now, key, now - 3, now + step % 7, step % 5 + 1);
                }
                assertEquals(plain.size(), index.size());
                assertEquals(barrier, index.barrier());
            }
        }
    }

    @Test
    void afterAMillionCallsItStillHoldsItsCapacityAndNoMore() {
        FailedCallIndex index = new FailedCallIndex(1000, 1e9);
        for (long key = 0; key < 1_000_000; key++) {
            index.recordFailure(key * 64, key, key, key, key + 200, 1);
        }
        assertEquals(1000, index.size());
        assertTrue(index.find(999_999 * 64, 1e6) != FailedCallIndex.NONE);
        assertEquals(FailedCallIndex.NONE, index.find(0, 1e6));
        assertEquals(998_999 + 200, index.barrier());
    }
}
