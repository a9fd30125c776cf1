package pathlane.group;

import java.util.BitSet;
import java.util.Collections;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Shards of members that have gone which nobody can claim, since nobody has their records: a member's own process alone may
 * take them back. Part of {@link LeaseRegistry}; not thread-safe.
 */
final class UnclaimableShards {

    /** The shards of one member. */
    record Entry(Member former, BitSet shards) {}

    /** Names that never come back do not make the registry grow: the oldest go first. */
    private static final int MOST_MEMBERS = 1_024;

    private final SortedMap<Long, Entry> entries = new TreeMap<>();

    /** The entries, by the token of the member that has gone. */
    SortedMap<Long, Entry> entries() {
        return Collections.unmodifiableSortedMap(entries);
    }

    /** Puts an entry of another registry's state. */
    void restore(Entry entry) {
        entries.put(entry.former.token(), entry);
    }

    /** Nobody has the records of these shards of a member that has gone. */
    void add(Member former, BitSet shards) {
        if (!shards.isEmpty()) {
            entries.computeIfAbsent(former.token(), token -> new Entry(former, new BitSet())).shards.or(shards);
        }
        entries.values().removeIf(entry -> entry.shards.isEmpty());
        while (entries.size() > MOST_MEMBERS) {
            entries.remove(entries.firstKey());
        }
    }

    /** Whose shards they are. */
    Optional<Member> former(long token) {
        return Optional.ofNullable(entries.get(token)).map(Entry::former);
    }

    /** Whether a shard of a member that has gone is among them. */
    boolean contains(long token, int shard) {
        Entry entry = entries.get(token);
        return entry != null && entry.shards.get(shard);
    }

    /** Its process takes a shard back; false where it is not among them. */
    boolean takeBack(long token, int shard) {
        boolean isContained = contains(token, shard);
        if (isContained) {
            entries.get(token).shards.clear(shard);
        }
        return isContained;
    }

    /** A process has started where the one that had them ran: they are gone with that. */
    void removeReplaced(String name, long incarnation, String address) {
        entries.values().removeIf(entry -> entry.former.name().equals(name) && entry.former.incarnation() != incarnation
                && entry.former.address().equals(address));
    }
}
