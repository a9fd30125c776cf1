package pathlane.lab;

import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** An in-memory Raft store that survives restarts of a simulated voter. */
final class MemoryStore implements RaftStore {

    private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
    private final TreeMap<Long, List<SnapshotChunk>> snapshots = new TreeMap<>();
    private RaftEndpointPersistentState endpoint;
    private RaftGroupMembersView initialMembers;
    private RaftTermPersistentState term;

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) {
        endpoint = state;
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) {
        initialMembers = members;
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) {
        term = state;
    }

    @Override
    public void persistLogEntries(List<LogEntry> added) {
        added.forEach(entry -> entries.put(entry.getIndex(), entry));
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) {
        snapshots.computeIfAbsent(chunk.getIndex(), index -> new ArrayList<>()).add(chunk);
    }

    @Override
    public void truncateLogEntriesFrom(long index) {
        entries.tailMap(index, true).clear();
    }

    @Override
    public void truncateLogEntriesUntil(long index) {
        entries.headMap(index, true).clear();
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) {
        snapshots.remove(index);
    }

    @Override
    public void flush() {
        // Every write is durable at once.
    }

    /** The state from which a restarted voter recovers. */
    Optional<RestoredRaftState> restored() {
        if (endpoint == null || initialMembers == null) {
            return Optional.empty();
        }
        DefaultRaftModelFactory models = new DefaultRaftModelFactory();
        SnapshotEntry snapshot = null;
        for (var one : snapshots.descendingMap().entrySet()) {
            List<SnapshotChunk> chunks = one.getValue();
            if (snapshot == null && chunks.size() == chunks.get(0).getSnapshotChunkCount()) {
                snapshot = models.createSnapshotEntryBuilder().setIndex(one.getKey()).setTerm(chunks.get(0).getTerm())
                        .setSnapshotChunks(chunks).setGroupMembersView(chunks.get(0).getGroupMembersView()).build();
            }
        }
        long from = snapshot == null ? 0 : snapshot.getIndex();
        RaftTermPersistentState at = term == null ? models.createRaftTermPersistentStateBuilder().setTerm(0).build() : term;
        return Optional.of(new RestoredRaftState(endpoint, initialMembers, at, snapshot,
                new ArrayList<>(entries.tailMap(from, false).values())));
    }
}
