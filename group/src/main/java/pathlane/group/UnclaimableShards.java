package pathlane.group;

import java.util.BitSet;
import java.util.Collections;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Shards of former members that no member can claim, since none has their records: only the former member's own process
 * may reclaim them. Part of {@link LeaseRegistry}; not thread-safe.
 */
final class UnclaimableShards {

    /** The unclaimable shards of one former member. */
    record Entry(Member formerOwner, BitSet shards) {}

    /** Bounds the registry's memory against members that never return; the oldest entries are evicted first. */
    private static final int MAX_MEMBERS = 1_024;

    private final SortedMap<Long, Entry> entries = new TreeMap<>();

    /** The entries, by the token of the former member. */
    SortedMap<Long, Entry> entries() {
        return Collections.unmodifiableSortedMap(entries);
    }

    /** Adds an entry from a snapshot. */
    void restore(Entry entry) {
        entries.put(entry.formerOwner.token(), entry);
    }

    /** Adds shards of a former member whose records no member has. */
    void add(Member formerOwner, BitSet shards) {
        if (!shards.isEmpty()) {
            entries.computeIfAbsent(formerOwner.token(), token -> new Entry(formerOwner, new BitSet())).shards.or(shards);
        }
        entries.values().removeIf(entry -> entry.shards.isEmpty());
        while (entries.size() > MAX_MEMBERS) {
            entries.remove(entries.firstKey());
        }
    }

    /** The former member with this token, if it has an entry. */
    Optional<Member> formerOwner(long token) {
        return Optional.ofNullable(entries.get(token)).map(Entry::formerOwner);
    }

    /** Whether a shard of a former member is unclaimable. */
    boolean contains(long token, int shard) {
        Entry entry = entries.get(token);
        return entry != null && entry.shards.get(shard);
    }

    /** Gives a shard back to the former member's process; false if the shard is not unclaimable. */
    boolean reclaim(long token, int shard) {
        boolean isUnclaimable = contains(token, shard);
        if (isUnclaimable) {
            entries.get(token).shards.clear(shard);
        }
        return isUnclaimable;
    }

    /** Removes the shards of a process that a new one replaced at the same name and address: its calls died with it. */
    void removeReplaced(String name, long incarnation, String address) {
        entries.values()
                .removeIf(entry -> entry.formerOwner.name().equals(name) && entry.formerOwner.incarnation() != incarnation
                        && entry.formerOwner.address().equals(address));
    }
}
