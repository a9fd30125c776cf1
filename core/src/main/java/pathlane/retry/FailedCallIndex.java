package pathlane.retry;

import java.util.Arrays;

/**
 * Recently failed calls by a 64-bit key: a hash index of fixed size whose entries expire. All times are milliseconds on one
 * monotonic clock of the user's choice. Not thread-safe.
 *
 * <p>Invariants: there are at most {@code capacity} entries; they form a linked list in the order in which they were last
 * written, so the oldest are evicted first and expiry takes O(1) per entry; the table uses open addressing with linear
 * probing at a load factor of at most 1/2, and deletion shifts entries back, so there are no tombstones. Nothing is
 * allocated after construction.
 *
 * <p>If the index is full, the oldest entry is evicted before it expires. {@link #evictedNotBefore()} is the latest time up
 * to which an evicted entry delayed its retries, so that the retry delay also holds for keys that are <em>not</em> found.
 */
final class FailedCallIndex {

    /** The result if a key is not found. */
    static final int NONE = -1;

    private final int mask;
    private final int capacity;
    private final double retentionMs;
    private final int[] table;
    private final long[] keys;
    private final double[] firstArrivedAt;
    private final double[] notBefore;
    private final double[] lastFailedAt;
    private final int[] failures;
    private final long[] firstCallId;
    private final int[] older;
    private final int[] newer;
    private int oldest = NONE;
    private int newest = NONE;
    private int firstFree;
    private int size;
    private double evictedNotBefore = Double.NEGATIVE_INFINITY;

    /**
     * Creates an empty index.
     *
     * @param capacity the maximum number of entries, from 1 to 2^24
     * @param retentionMs how long an entry is kept after it was last written, in milliseconds
     * @throws IllegalArgumentException if one of them is out of range
     */
    FailedCallIndex(int capacity, double retentionMs) {
        if (capacity < 1 || capacity > 1 << 24) {
            throw new IllegalArgumentException("capacity of " + capacity + " entries is out of range: 1 to 16777216");
        }
        if (!(retentionMs > 0)) {
            throw new IllegalArgumentException("retention of " + retentionMs + " ms is out of range: it must be above zero");
        }
        this.capacity = capacity;
        this.retentionMs = retentionMs;
        int slots = Integer.highestOneBit(Math.max(2, 2 * capacity - 1)) << 1;
        mask = slots - 1;
        table = new int[slots];
        Arrays.fill(table, NONE);
        keys = new long[capacity];
        firstArrivedAt = new double[capacity];
        notBefore = new double[capacity];
        lastFailedAt = new double[capacity];
        failures = new int[capacity];
        firstCallId = new long[capacity];
        older = new int[capacity];
        newer = new int[capacity];
        for (int i = 0; i < capacity; i++) {
            newer[i] = i + 1 < capacity ? i + 1 : NONE;
        }
    }

    /** Returns the number of entries, including expired ones that have not been removed yet. */
    int size() {
        return size;
    }

    /** Returns the entry of a key, or {@link #NONE} if there is none or it has expired at this time. */
    int find(long key, double now) {
        expire(now);
        return table[slotOf(key)];
    }

    /** Returns when the first call with the key arrived. */
    double firstArrivedAt(int entry) {
        return firstArrivedAt[entry];
    }

    /** Returns the earliest time at which the next call with the key may be sent. */
    double notBefore(int entry) {
        return notBefore[entry];
    }

    /** Returns how many calls with the key have failed. */
    int failures(int entry) {
        return failures[entry];
    }

    /** Returns the id of the first call with the key. */
    long firstCallId(int entry) {
        return firstCallId[entry];
    }

    /** Returns the latest {@link #notBefore} of entries evicted before they expired; minus infinity if there are none. */
    double evictedNotBefore() {
        return evictedNotBefore;
    }

    /** Records that a call with this key failed; the entry's retention starts again. */
    void recordFailure(long key, double now, long firstId, double firstArrived, double retryNotBefore, int failuresSoFar) {
        expire(now);
        int slot = slotOf(key);
        int entry = table[slot];
        if (entry == NONE) {
            if (size == capacity) {
                evictedNotBefore = Math.max(evictedNotBefore, notBefore[oldest]);
                remove(oldest);
                slot = slotOf(key);   // removal may have shifted the slot
            }
            entry = firstFree;
            firstFree = newer[entry];
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
        lastFailedAt[entry] = now;
        link(entry);
    }

    /** Removes a key; does nothing if it is not found. */
    void forget(long key) {
        int entry = table[slotOf(key)];
        if (entry != NONE) {
            remove(entry);
        }
    }

    private void expire(double now) {
        while (oldest != NONE && now - lastFailedAt[oldest] >= retentionMs) {
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
        newer[entry] = firstFree;
        firstFree = entry;
        size--;
        // Knuth, TAOCP 3, 6.4, algorithm R: entries that were probed past the gap move into it.
        for (int next = gap + 1 & mask; table[next] != NONE; next = next + 1 & mask) {
            int homeSlot = homeSlot(keys[table[next]]);
            if ((next - homeSlot & mask) >= (next - gap & mask)) {
                table[gap] = table[next];
                gap = next;
            }
        }
        table[gap] = NONE;
    }

    /** Returns the slot that holds the key, or the empty slot in which it would be stored. */
    private int slotOf(long key) {
        int slot = homeSlot(key);
        while (table[slot] != NONE && keys[table[slot]] != key) {
            slot = slot + 1 & mask;
        }
        return slot;
    }

    private int homeSlot(long key) {
        long mixed = key * 0x9E3779B97F4A7C15L;   // Fibonacci hashing: keys may be sequential
        return (int) (mixed >>> 40) & mask;
    }
}
