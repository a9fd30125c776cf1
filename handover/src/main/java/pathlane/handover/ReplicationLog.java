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
 * records others may act on. Confined to the event loop thread.
 *
 * <p>Each replica holder is sent the shards that the replicated view and the newest view assign to it: first a snapshot of
 * each shard, then its changes in order. Once all replica holders of the newest view have all their shards, the registry is
 * asked to switch to that view, so that no member with incomplete replicas can claim a shard. A record is <em>shared</em>
 * from the moment it may have reached a replica holder whose claim the registry may accept; from then on this owner acts on
 * the call only while its lease is valid.
 */
final class ReplicationLog {

    /** Sends messages; a message to a replica holder that is not connected is lost. */
    interface Transport {
        boolean isConnected(long holder);

        void send(long holder, PeerMessage message);

        /** Keeps connections to these members open from now on; connections to others may be closed. */
        void keepConnectedTo(Set<Long> holders);
    }

    private static final Duration REPORT_RETRY_INTERVAL = Duration.ofMillis(250);
    /** The maximum number of changes in one message. */
    private static final int MAX_CHANGES_PER_MESSAGE = 500;
    private static final long NO_TOKEN = 0;
    private static final long NO_VIEW = -1;
    /** The {@code upTo} of all messages of a batch but the last: a replica holder that has such a one may lack the rest. */
    private static final long PARTIAL = -1;

    private final RegistryAccess registry;
    private final Scheduler scheduler;
    private final Duration batchWindow;
    private final Transport transport;
    private final RecordTable records = new RecordTable();
    private final Map<Long, ReplicaFeed> feeds = new LinkedHashMap<>();
    private final AwaitedReplications awaited;
    private long token = NO_TOKEN;
    private long lastChange;
    private long targetView = NO_VIEW;
    private long replicatedView;
    /** Whether the registry was ever asked to switch to a view for this lease's records. */
    private boolean isReplicationReported;
    private boolean isReportPending;
    private boolean isFlushScheduled;
    private boolean isPaused;

    /** {@code batchWindow} is how long a change may be delayed to be batched with others. */
    ReplicationLog(RegistryAccess registry, Scheduler scheduler, Duration batchWindow, Transport transport) {
        this.registry = registry;
        this.scheduler = scheduler;
        this.batchWindow = batchWindow;
        this.transport = transport;
        this.awaited = new AwaitedReplications(scheduler);
    }

    // ---- call records

    /** Sets the call's record. */
    void put(CallRecord record) {
        records.put(record, ++lastChange);
        replicate(new PeerMessage.Change(record.callId(), record));
    }

    /** Drops the record of a call for which no work is left. */
    void drop(String callId) {
        if (records.remove(callId)) {
            lastChange++;
            replicate(new PeerMessage.Change(callId, null));
        }
        awaited.callDropped(callId);
    }

    /** Removes a call's record without notifying the replica holders, because other members act on the call. */
    void removeLocally(String callId) {
        records.remove(callId);
    }

    private void replicate(PeerMessage.Change change) {
        if (token == NO_TOKEN) {
            return;
        }
        int shard = ShardPlacement.shardOf(change.callId());
        feeds.forEach((holder, feed) -> {
            if (feed.hasSent(shard) && transport.isConnected(holder)) {
                feed.addChange(change, lastChange);
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

    /** Sends all pending changes at once. */
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
        for (int from = 0; from < unsent.size(); from += MAX_CHANGES_PER_MESSAGE) {
            int to = Math.min(unsent.size(), from + MAX_CHANGES_PER_MESSAGE);
            long upTo = to == unsent.size() ? lastChange : PARTIAL;
            transport.send(holder, new PeerMessage.Changes(token, upTo, unsent.subList(from, to)));
        }
    }

    /** Whether others may act on this call by its record once the lease has ended. */
    boolean isShared(String callId) {
        return isReplicationReported && records.find(callId).filter(RecordTable.Entry::isShared).isPresent();
    }

    /** The records of the calls that others may act on. */
    List<CallRecord> sharedRecords() {
        return records.all().stream().filter(entry -> isReplicationReported && entry.isShared())
                .map(RecordTable.Entry::record).toList();
    }

    /** The call's record. */
    Optional<CallRecord> record(String callId) {
        return records.find(callId).map(RecordTable.Entry::record);
    }

    /** Runs a task once the call's record is at all its connected replica holders, or after the timeout. */
    void whenReplicated(String callId, Duration timeout, Runnable task) {
        Optional<RecordTable.Entry> entry = records.find(callId);
        Set<Long> holders = new HashSet<>();
        int shard = ShardPlacement.shardOf(callId);
        feeds.forEach((holder, feed) -> {
            if (feed.hasSent(shard) && transport.isConnected(holder)) {
                holders.add(holder);
            }
        });
        if (entry.isEmpty() || token == NO_TOKEN || isPaused || holders.isEmpty()) {
            task.run();
        } else {
            awaited.await(callId, entry.get().lastChange(), holders, timeout, task);
        }
    }

    // ---- lease

    /** A lease begins: no member has any records under it yet. */
    void begin(long newToken) {
        token = newToken;
        feeds.clear();
        records.clearSent();
        isPaused = false;
        targetView = NO_VIEW;
        replicatedView = 0;
        isReplicationReported = false;
        isReportPending = false;
        registryChanged();
    }

    /** The lease has ended: nothing is sent. */
    void end() {
        token = NO_TOKEN;
        feeds.clear();
        transport.keepConnectedTo(Set.of());
        awaited.runAll();
    }

    /** The lease is not valid: changes stay local to this owner until {@link #resume} or {@link #begin}. */
    void pause() {
        isPaused = true;
    }

    /**
     * The lease is valid again and the replica holders still have their replicas: they are sent the changes they missed.
     */
    void resume() {
        isPaused = false;
        sendToAll();
        registryChanged();
    }

    /** All replica holders have dropped all records and will not act on them: the calls are this owner's alone. */
    void replicasDropped() {
        records.clearSent();
        feeds.values().forEach(ReplicaFeed::restart);
    }

    /** A replica holder has dropped its replicas: it is sent them anew once the lease is valid. */
    void replicasDroppedAt(long holder) {
        ReplicaFeed feed = feeds.get(holder);
        if (feed != null) {
            feed.clearAcknowledged();
            connected(holder);
        }
    }

    // ---- views

    /** The registry's newest view, or the view that it uses for this owner's records, may have changed. */
    void registryChanged() {
        LeaseRegistry current = registry.registry();
        if (token == NO_TOKEN || isPaused || !current.isLive(token)) {
            return;
        }
        if (current.view() != targetView || current.replicatedView(token) != replicatedView) {
            targetView = current.view();
            replicatedView = current.replicatedView(token);
            assignShards(current);
        }
        reportIfReplicated();
    }

    private void assignShards(LeaseRegistry current) {
        Map<Long, BitSet> wanted = wantedShards(current);
        feeds.keySet().retainAll(wanted.keySet());
        wanted.forEach((holder, shards) -> feeds.computeIfAbsent(holder, any -> new ReplicaFeed()).assignShards(shards));
        transport.keepConnectedTo(wanted.keySet());
        sendToAll();
    }

    /** The shards that each live replica holder is to have, by the replicated view and the newest one. */
    private Map<Long, BitSet> wantedShards(LeaseRegistry current) {
        Map<Long, BitSet> wanted = new HashMap<>();
        List<Long> views = replicatedView == 0 ? List.of(targetView) : List.of(replicatedView, targetView);
        for (long view : views) {
            for (int shard = 0; shard < ShardPlacement.SHARD_COUNT; shard++) {
                for (Member holder : current.replicaHolders(token, shard, view)) {
                    if (current.isLive(holder.token())) {
                        wanted.computeIfAbsent(holder.token(), any -> new BitSet()).set(shard);
                    }
                }
            }
        }
        return wanted;
    }

    private void sendToAll() {
        feeds.forEach((holder, feed) -> {
            if (transport.isConnected(holder)) {
                send(holder, feed);
            }
        });
    }

    /** Sends the shards that were not yet sent on this connection, then announces the view that they complete. */
    private void send(long holder, ReplicaFeed feed) {
        if (isPaused) {
            return;
        }
        flush(holder, feed);
        feed.takeUnsentShards().stream().forEach(shard -> sendShard(holder, shard));
        if (feed.announce(targetView, lastChange)) {
            transport.send(holder, new PeerMessage.ViewReplicated(token, targetView, lastChange));
        }
    }

    private void sendShard(long holder, int shard) {
        List<CallRecord> shardRecords = new ArrayList<>();
        for (RecordTable.Entry entry : records.inShard(shard)) {
            entry.markSent();
            shardRecords.add(entry.record());
        }
        transport.send(holder, new PeerMessage.ShardSnapshot(token, targetView, shard, lastChange, shardRecords));
    }

    /** A connection to a replica holder was opened; nothing was sent on it yet. */
    void connected(long holder) {
        ReplicaFeed feed = feeds.get(holder);
        if (feed != null && token != NO_TOKEN) {
            feed.restart();
            send(holder, feed);
        }
    }

    /** A replica holder has acknowledged changes and a view. */
    void acknowledged(long holder, PeerMessage.Acknowledged message) {
        ReplicaFeed feed = feeds.get(holder);
        if (feed != null && message.owner() == token) {
            feed.acknowledged(message.upTo(), message.view());
            awaited.acknowledged(holder, message.upTo());
            reportIfReplicated();
        }
    }

    /** Notifies the registry once all replica holders of the newest view have the shards that it assigns to them. */
    private void reportIfReplicated() {
        if (isReportPending || token == NO_TOKEN || feeds.isEmpty() || replicatedView >= targetView
                || !isTargetReplicated()) {
            return;
        }
        long reportedToken = token;
        isReportPending = true;
        isReplicationReported = true;
        registry.submit(new Command.Replicated(reportedToken, targetView), reply -> {
            if (reportedToken == token) {
                isReportPending = false;
                scheduler.after(REPORT_RETRY_INTERVAL, this::registryChanged);
            }
        });
    }

    private boolean isTargetReplicated() {
        Set<Long> members = new HashSet<>();
        registry.registry().members().forEach(member -> members.add(member.token()));
        return feeds.entrySet().stream()
                .allMatch(feed -> !members.contains(feed.getKey()) || feed.getValue().hasView(targetView));
    }

    // ---- replication state

    /** Whether all connected replica holders have all changes that concern them. */
    boolean isReplicated() {
        return feeds.entrySet().stream()
                .allMatch(feed -> !transport.isConnected(feed.getKey()) || feed.getValue().isUpToDate());
    }

    /** Whether a shard's changes up to this one have reached all its connected replica holders. */
    boolean isReplicatedUpTo(long change, int shard) {
        return feeds.entrySet().stream().allMatch(feed -> !feed.getValue().isAssigned(shard)
                || !transport.isConnected(feed.getKey()) || feed.getValue().hasChange(change));
    }

    /** The members that were sent anything under this lease, and that may act on it. */
    Set<Long> replicaHolders() {
        return Set.copyOf(feeds.keySet());
    }

    /** The number of the last change. */
    long lastChange() {
        return lastChange;
    }

    /** The number of records, shared or not. */
    int size() {
        return records.size();
    }
}
