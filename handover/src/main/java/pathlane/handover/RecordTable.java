package pathlane.handover;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import pathlane.group.ShardPlacement;

/** An owner's records of its calls, by call and by shard, and as what each was last sent. On the loop's thread. */
final class RecordTable {

    /** A call's record. */
    static final class Entry {
        private CallRecord record;
        private long lastChange;
        private Optional<CallRecord.Kind> sentAs = Optional.empty();

        CallRecord record() {
            return record;
        }

        /** The number of its last change. */
        long lastChange() {
            return lastChange;
        }

        /** Its present state is sent to a replica holder. */
        void markSent() {
            sentAs = Optional.of(record.kind());
        }

        /** Whether a successor would act on the call: one of which it knows an attempt alone is left to its owner. */
        boolean isShared() {
            return sentAs.filter(kind -> kind != CallRecord.Kind.IN_FLIGHT && kind != CallRecord.Kind.RETRY_DELAYED)
                    .isPresent();
        }
    }

    private final Map<String, Entry> entries = new HashMap<>();
    private final List<Map<String, Entry>> shards = new ArrayList<>();

    RecordTable() {
        for (int shard = 0; shard < ShardPlacement.SHARDS; shard++) {
            shards.add(new LinkedHashMap<>());
        }
    }

    Optional<Entry> find(String callId) {
        return Optional.ofNullable(entries.get(callId));
    }

    /** The call's record from now on, by the change of this number. */
    void put(CallRecord record, long change) {
        Entry entry = entries.computeIfAbsent(record.callId(), id -> new Entry());
        entry.record = record;
        entry.lastChange = change;
        shards.get(ShardPlacement.shardOf(record.callId())).put(record.callId(), entry);
    }

    /** Removes a call's record; false where there is none. */
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

    Collection<Entry> ofShard(int shard) {
        return shards.get(shard).values();
    }

    /** No replica holder has any of the records. */
    void clearSent() {
        entries.values().forEach(entry -> entry.sentAs = Optional.empty());
    }

    int size() {
        return entries.size();
    }
}
