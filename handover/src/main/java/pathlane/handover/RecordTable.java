package pathlane.handover;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import pathlane.group.ShardPlacement;

/**
 * An owner's records of its calls, by call and by shard, and the kind as which each was last sent. Confined to the event
 * loop thread.
 */
final class RecordTable {

    /** A call's record. */
    static final class Entry {
        private CallRecord record;
        private long lastChange;
        private Optional<CallRecord.Kind> sentAs = Optional.empty();

        CallRecord record() {
            return record;
        }

        /** The number of the record's last change. */
        long lastChange() {
            return lastChange;
        }

        /** The record's current state is sent to a replica holder. */
        void markSent() {
            sentAs = Optional.of(record.kind());
        }

        /** Whether a successor would act on the call. It leaves a call of which it knows just an attempt to the owner. */
        boolean isShared() {
            return sentAs.filter(kind -> kind != CallRecord.Kind.IN_FLIGHT && kind != CallRecord.Kind.RETRY_DELAYED)
                    .isPresent();
        }
    }

    private final Map<String, Entry> entries = new HashMap<>();
    private final List<Map<String, Entry>> shards = new ArrayList<>();

    RecordTable() {
        for (int shard = 0; shard < ShardPlacement.SHARD_COUNT; shard++) {
            shards.add(new LinkedHashMap<>());
        }
    }

    Optional<Entry> find(String callId) {
        return Optional.ofNullable(entries.get(callId));
    }

    /** Sets the call's record, by the change of this number. */
    void put(CallRecord record, long change) {
        Entry entry = entries.computeIfAbsent(record.callId(), id -> new Entry());
        entry.record = record;
        entry.lastChange = change;
        shards.get(ShardPlacement.shardOf(record.callId())).put(record.callId(), entry);
    }

    /** Removes a call's record; returns false if there is none. */
    boolean remove(String callId) {
        boolean isKnown = entries.remove(callId) != null;
        if (isKnown) {
            shards.get(ShardPlacement.shardOf(callId)).remove(callId);
        }
        return isKnown;
    }

    Collection<Entry> all() {
        return entries.values();
    }

    Collection<Entry> inShard(int shard) {
        return shards.get(shard).values();
    }

    /** Marks all records as not sent: no replica holder has any of them. */
    void clearSent() {
        entries.values().forEach(entry -> entry.sentAs = Optional.empty());
    }

    int size() {
        return entries.size();
    }
}
