package pathlane.handover;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import pathlane.core.Scheduler;
import pathlane.group.Command;
import pathlane.group.LeaseRegistry;
import pathlane.group.Member;
import pathlane.group.RegistryAccess;
import pathlane.group.ShardPlacement;

/**
 * The replication of an owner's records: which members hold a replica of each, what has yet to be sent to them, and which
 * records others may act by. On the loop's thread.
 *
 * <p>Each replica holder is sent the shards that the replicated view and the newest view give it: each shard whole
 * once, then its changes in order. Once all holders of the newest view have all their shards, the registry is told to
 * go by it, so that a claim is never made by one who has less. A record is <em>shared</em> from the moment it may
 * have reached a holder whose claim the registry may take: then this owner acts on the call while its lease is valid,
 * and not otherwise.
 */
final class ReplicationLog {

    /** Sends messages; what is sent to a holder that is not up is lost. */
    interface Transport {
        boolean isUp(long holder);

        void send(long holder, PeerMessage message);

        /** Connections to these are kept up from now on; those to others may go. */
        void keepConnectedTo(Set<Long> holders);
    }

    private static final Duration REPORT_AGAIN = Duration.ofMillis(250);
    /** Changes in one message, at most. */
    private static final int MOST_CHANGES = 500;
    private static final long NO_TOKEN = 0;
    private static final long NO_VIEW = -1;
    /** A part of the changes says nothing of how far it goes: what a holder has of the others may lack the rest. */
    private static final long PARTIAL = -1;

    private final RegistryAccess registry;
    private final Scheduler scheduler;
    private final Duration batchWindow;
    private final Transport transport;
    private final RecordTable records = new RecordTable();
    private final Map<Long, ReplicaFeed> feeds = new LinkedHashMap<>();
    private final AwaitedReplications awaited;
    private long token = NO_TOKEN;
    private long changes;
    private long targetView = NO_VIEW;
    private long replicatedView;
    /** Whether the registry was ever asked to go by this lease's records. */
    private boolean isReplicationReported;
    private boolean isReportPending;
    private boolean isFlushScheduled;
    private boolean isPaused;

    /** {@code batchWindow} is how long a change may wait for others to go with it. */
    ReplicationLog(RegistryAccess registry, Scheduler scheduler, Duration batchWindow, Transport transport) {
        this.registry = registry;
        this.scheduler = scheduler;
        this.batchWindow = batchWindow;
        this.transport = transport;
        this.awaited = new AwaitedReplications(scheduler);
    }

    // ---- the calls

    /** The call's record from now on. */
    void put(CallRecord record) {
        records.put(record, ++changes);
        replicate(new PeerMessage.Change(record.callId(), record));
    }

    /** Nothing is left of the call. */
    void drop(String callId) {
        if (records.remove(callId)) {
            changes++;
            replicate(new PeerMessage.Change(callId, null));
        }
        awaited.callDropped(callId);
    }

    /** Removes a call without telling the replica holders: others act on it. */
    void forget(String callId) {
        records.remove(callId);
    }

    private void replicate(PeerMessage.Change change) {
        if (token == NO_TOKEN) {
            return;
        }
        int shard = ShardPlacement.shardOf(change.callId());
        feeds.forEach((holder, feed) -> {
            if (feed.hasSent(shard) && transport.isUp(holder)) {
                feed.addChange(change, changes);
                scheduleFlush();
            }
        });
    }

    private void scheduleFlush() {
        if (!isFlushScheduled) {
            isFlushScheduled = true;
            scheduler.after(batchWindow, this::flush);
        }
    }

    /** Sends what waits, at once. */
    void flush() {
        isFlushScheduled = false;
        feeds.forEach(this::flush);
    }

    private void flush(long holder, ReplicaFeed feed) {
        if (isPaused) {
            return;
        }
        List<PeerMessage.Change> unsent = feed.takeUnsentChanges();
        unsent.forEach(change -> records.find(change.callId()).ifPresent(RecordTable.Entry::markSent));
        for (int from = 0; from < unsent.size(); from += MOST_CHANGES) {
            int to = Math.min(unsent.size(), from + MOST_CHANGES);
            long upTo = to == unsent.size() ? changes : PARTIAL;
            transport.send(holder, new PeerMessage.Changes(token, upTo, unsent.subList(from, to)));
        }
    }

    /** Whether others may act on this call by its record, should the lease have ended. */
    boolean isShared(String callId) {
        return isReplicationReported && records.find(callId).filter(RecordTable.Entry::isShared).isPresent();
    }

    /** The records of calls that others may act on. */
    List<CallRecord> shared() {
        return records.all().stream().filter(entry -> isReplicationReported && entry.isShared())
                .map(RecordTable.Entry::record).toList();
    }

    /** The call's record. */
    Optional<CallRecord> record(String callId) {
        return records.find(callId).map(RecordTable.Entry::record);
    }

    /** Runs a task once the call's record is at all its replica holders that are up, or after so long. */
    void whenReplicated(String callId, Duration atMost, Runnable task) {
        Optional<RecordTable.Entry> entry = records.find(callId);
        Set<Long> holders = new HashSet<>();
        int shard = ShardPlacement.shardOf(callId);
        feeds.forEach((holder, feed) -> {
            if (feed.hasSent(shard) && transport.isUp(holder)) {
                holders.add(holder);
            }
        });
        if (entry.isEmpty() || token == NO_TOKEN || isPaused || holders.isEmpty()) {
            task.run();
        } else {
            awaited.await(callId, entry.get().lastChange(), holders, atMost, task);
        }
    }

    // ---- the lease

    /** A lease begins: nobody has any records by it yet. */
    void begin(long granted) {
        token = granted;
        feeds.clear();
        records.clearSent();
        isPaused = false;
        targetView = NO_VIEW;
        replicatedView = 0;
        isReplicationReported = false;
        isReportPending = false;
        registryChanged();
    }

    /** There is no lease: nothing is sent. */
    void end() {
        token = NO_TOKEN;
        feeds.clear();
        transport.keepConnectedTo(Set.of());
        awaited.runAll();
    }

    /** The lease is not valid: what changes from now on is this owner's alone, until {@link #resume} or {@link #begin}. */
    void pause() {
        isPaused = true;
    }

    /** The lease is valid again, and the replica holders have what they had: they are sent what they missed. */
    void resume() {
        isPaused = false;
        sendToAll();
        registryChanged();
    }

    /** The replica holders have dropped all records and will not act by them: they are this owner's alone. */
    void replicasDropped() {
        records.clearSent();
        feeds.values().forEach(ReplicaFeed::restart);
    }

    /** A replica holder has dropped its records: it is sent them anew, once the lease is valid. */
    void replicasDroppedAt(long holder) {
        ReplicaFeed feed = feeds.get(holder);
        if (feed != null) {
            feed.clearAcknowledged();
            connected(holder);
        }
    }

    // ---- the views

    /** The registry was seen to change: its newest view, or the one that it goes by for this owner. */
    void registryChanged() {
        LeaseRegistry known = registry.registry();
        if (token == NO_TOKEN || isPaused || !known.isLive(token)) {
            return;
        }
        if (known.view() != targetView || known.replicatedView(token) != replicatedView) {
            targetView = known.view();
            replicatedView = known.replicatedView(token);
            place(known);
        }
        reportIfReplicated();
    }

    private void place(LeaseRegistry known) {
        Map<Long, BitSet> wanted = wantedShards(known);
        feeds.keySet().retainAll(wanted.keySet());
        wanted.forEach((holder, shards) -> feeds.computeIfAbsent(holder, any -> new ReplicaFeed()).place(shards));
        transport.keepConnectedTo(wanted.keySet());
        sendToAll();
    }

    /** The shards that each live replica holder is to have, by the replicated view and the newest one. */
    private Map<Long, BitSet> wantedShards(LeaseRegistry known) {
        Map<Long, BitSet> wanted = new HashMap<>();
        List<Long> views = replicatedView == 0 ? List.of(targetView) : List.of(replicatedView, targetView);
        for (long view : views) {
            for (int shard = 0; shard < ShardPlacement.SHARDS; shard++) {
                for (Member holder : known.replicaHolders(token, shard, view)) {
                    if (known.isLive(holder.token())) {
                        wanted.computeIfAbsent(holder.token(), any -> new BitSet()).set(shard);
                    }
                }
            }
        }
        return wanted;
    }

    private void sendToAll() {
        feeds.forEach((holder, feed) -> {
            if (transport.isUp(holder)) {
                send(holder, feed);
            }
        });
    }

    /** Sends the shards that the holder has not had on this connection, then says which view they make up. */
    private void send(long holder, ReplicaFeed feed) {
        if (isPaused) {
            return;
        }
        flush(holder, feed);
        feed.takeUnsentShards().stream().forEach(shard -> sendShard(holder, shard));
        if (feed.announce(targetView, changes)) {
            transport.send(holder, new PeerMessage.ViewReplicated(token, targetView, changes));
        }
    }

    private void sendShard(long holder, int shard) {
        List<CallRecord> ofShard = new ArrayList<>();
        for (RecordTable.Entry entry : records.ofShard(shard)) {
            entry.markSent();
            ofShard.add(entry.record());
        }
        transport.send(holder, new PeerMessage.ShardSnapshot(token, targetView, shard, changes, ofShard));
    }

    /** A connection to a replica holder is up, and nothing was sent on it. */
    void connected(long holder) {
        ReplicaFeed feed = feeds.get(holder);
        if (feed != null && token != NO_TOKEN) {
            feed.restart();
            send(holder, feed);
        }
    }

    /** A replica holder says how much it has. */
    void acknowledged(long holder, PeerMessage.Acknowledged message) {
        ReplicaFeed feed = feeds.get(holder);
        if (feed != null && message.owner() == token) {
            feed.acknowledged(message.upTo(), message.view());
            awaited.acknowledged(holder, message.upTo());
            reportIfReplicated();
        }
    }

    /** Tells the registry once all holders of the newest view have what it gives them. */
    private void reportIfReplicated() {
        if (isReportPending || token == NO_TOKEN || feeds.isEmpty() || replicatedView >= targetView
                || !isTargetReplicated()) {
            return;
        }
        long reportedFor = token;
        isReportPending = true;
        isReplicationReported = true;
        registry.submit(new Command.Replicated(reportedFor, targetView), reply -> {
            if (reportedFor == token) {
                isReportPending = false;
                scheduler.after(REPORT_AGAIN, this::registryChanged);
            }
        });
    }

    private boolean isTargetReplicated() {
        Set<Long> members = new HashSet<>();
        registry.registry().members().forEach(member -> members.add(member.token()));
        return feeds.entrySet().stream()
                .allMatch(feed -> !members.contains(feed.getKey()) || feed.getValue().hasView(targetView));
    }

    // ---- what is known of it

    /** Whether all that this owner has is where the registry looks for it. */
    boolean isReplicated() {
        return feeds.entrySet().stream()
                .allMatch(feed -> !transport.isUp(feed.getKey()) || feed.getValue().isUpToDate());
    }

    /** Whether a shard's changes up to this one have reached all its replica holders that are up. */
    boolean isReplicatedUpTo(long change, int shard) {
        return feeds.entrySet().stream().allMatch(feed -> !feed.getValue().isFor(shard)
                || !transport.isUp(feed.getKey()) || feed.getValue().has(change));
    }

    /** The members to which anything was sent by this lease, and that may act by it. */
    Set<Long> replicaHolders() {
        return Set.copyOf(feeds.keySet());
    }

    /** The number of the last change. */
    long changes() {
        return changes;
    }

    /** How many records there are, shared or not. */
    int size() {
        return records.size();
    }
}
