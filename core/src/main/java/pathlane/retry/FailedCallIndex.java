package pathlane.retry;

import java.util.Arrays;

/**
 * Calls that lately failed, by a 64-bit key: an expiring hash index of a fixed size. All times are milliseconds
 * on one clock that does not run back, of the user's choice; nothing here is thread-safe.
 *
 * <p>Invariants: at most {@code capacity} entries; they stand in a ring in the order in which they were last put, so
 * the oldest are forgotten first and expiry costs O(1) for each entry once; the table is open addressing with linear
 * probing at a load of a half at most, and deletion shifts back, so there are no tombstones. Nothing is allocated
 * after construction.
 *
 * <p>Where the index is full, the oldest entry is forgotten before its time. {@link #barrier()} then tells until when
 * a key that is <em>not</em> found may still have been one of those: the retry delay holds in that case too.
 */
final class FailedCallIndex {

    /** Not found. */
    static final int NONE = -1;

    private final int mask;
    private final int capacity;
    private final double keepMs;
    private final int[] table;
    private final long[] keys;
    private final double[] firstArrivedAt;
    private final double[] notBefore;
    private final double[] putAt;
    private final int[] failures;
    private final long[] firstCallId;
    private final int[] older;
    private final int[] newer;
    private int oldest = NONE;
    private int newest = NONE;
    private int free;
    private int size;
    private double barrier = Double.NEGATIVE_INFINITY;

    /**
     * An empty index.
     *
     * @param capacity entries at most, from 1 to 2^24
     * @param keepMs how long an entry is kept after it was last put, in milliseconds
     * @throws IllegalArgumentException where one of them can't be used
     */
    FailedCallIndex(int capacity, double keepMs) {
        if (capacity < 1 || capacity > 1 << 24) {
            throw new IllegalArgumentException("an index of " + capacity + " entries: from 1 to 16777216 are possible");
        }
        if (!(keepMs > 0)) {
            throw new IllegalArgumentException("entries kept for " + keepMs + " ms: a span above nought is wanted");
        }
        this.capacity = capacity;
        this.keepMs = keepMs;
        int slots = Integer.highestOneBit(Math.max(2, 2 * capacity - 1)) << 1;
        mask = slots - 1;
        table = new int[slots];
        Arrays.fill(table, NONE);
        keys = new long[capacity];
        firstArrivedAt = new double[capacity];
        notBefore = new double[capacity];
        putAt = new double[capacity];
        failures = new int[capacity];
        firstCallId = new long[capacity];
        older = new int[capacity];
        newer = new int[capacity];
        for (int i = 0; i < capacity; i++) {
            newer[i] = i + 1 < capacity ? i + 1 : NONE;
        }
    }

    /** Entries now, those that are due to expire included. */
    int size() {
        return size;
    }

    /** The entry of a key that is still kept at this time, or {@link #NONE}. */
    int find(long key, double now) {
        expire(now);
        return table[slotOf(key)];
    }

    /** When the first call for the same came. */
    double firstArrivedAt(int entry) {
        return firstArrivedAt[entry];
    }

    /** When the next call for the same may leave at the soonest. */
    double notBefore(int entry) {
        return notBefore[entry];
    }

    /** How many calls for the same have failed. */
    int failures(int entry) {
        return failures[entry];
    }

    /** The id of the first call for the same. */
    long firstCallId(int entry) {
        return firstCallId[entry];
    }

    /** Until when a key that is not found may have been forgotten before its time; minus infinity where none was. */
    double barrier() {
        return barrier;
    }

    /** A call with this key failed; the entry is kept from now on for its whole span again. */
    void recordFailure(long key, double now, long firstId, double firstArrived, double retryNotBefore, int failuresSoFar) {
        expire(now);
        int slot = slotOf(key);
        int entry = table[slot];
        if (entry == NONE) {
            if (size == capacity) {
                barrier = Math.max(barrier, notBefore[oldest]);
                remove(oldest);
                slot = slotOf(key);   // the shift back may have moved the place
            }
            entry = free;
            free = newer[entry];
            table[slot] = entry;
            keys[entry] = key;
            size++;
        } else {
            unlink(entry);
        }
        firstCallId[entry] = firstId;
        firstArrivedAt[entry] = firstArrived;
        notBefore[entry] = retryNotBefore;
        failures[entry] = failuresSoFar;
        putAt[entry] = now;
        link(entry);
    }

    /** Forgets a key; nothing happens where it is not kept. */
    void forget(long key) {
        int entry = table[slotOf(key)];
        if (entry != NONE) {
            remove(entry);
        }
    }

    private void expire(double now) {
        while (oldest != NONE && now - putAt[oldest] >= keepMs) {
            remove(oldest);
        }
    }

    private void link(int entry) {
        older[entry] = newest;
        newer[entry] = NONE;
        if (newest == NONE) {
            oldest = entry;
        } else {
            newer[newest] = entry;
        }
        newest = entry;
    }

    private void unlink(int entry) {
        if (older[entry] == NONE) {
            oldest = newer[entry];
        } else {
            newer[older[entry]] = newer[entry];
        }
        if (newer[entry] == NONE) {
            newest = older[entry];
        } else {
            older[newer[entry]] = older[entry];
        }
    }

    private void remove(int entry) {
        int gap = slotOf(keys[entry]);
        unlink(entry);
        newer[entry] = free;
        free = entry;
        size--;
        // Knuth, TAOCP 3, 6.4, algorithm R: what probed past the gap moves into it.
        for (int next = gap + 1 & mask; table[next] != NONE; next = next + 1 & mask) {
            int home = home(keys[table[next]]);
            if ((next - home & mask) >= (next - gap & mask)) {
                table[gap] = table[next];
                gap = next;
            }
        }
        table[gap] = NONE;
    }

    /** The slot that holds the key, or the empty one where it would go. */
    private int slotOf(long key) {
        int slot = home(key);
        while (table[slot] != NONE && keys[table[slot]] != key) {
            slot = slot + 1 & mask;
        }
        return slot;
    }

    private int home(long key) {
        long mixed = key * 0x9E3779B97F4A7C15L;   // Fibonacci hashing: keys may be counted up
        return (int) (mixed >>> 40) & mask;
    }
}
