package pathlane.voter;

import io.microraft.RaftEndpoint;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStoreSerializer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import pathlane.wire.ProtocolException;

/** Encodes the Raft library's messages and stored state as MessagePack: a kind, then the fields in a fixed order. */
public final class RaftCodec implements RaftStoreSerializer {

    private static final int APPEND_ENTRIES_REQUEST = 1;
    private static final int APPEND_ENTRIES_SUCCESS = 2;
    private static final int APPEND_ENTRIES_FAILURE = 3;
    private static final int PRE_VOTE_REQUEST = 4;
    private static final int PRE_VOTE_RESPONSE = 5;
    private static final int VOTE_REQUEST = 6;
    private static final int VOTE_RESPONSE = 7;
    private static final int INSTALL_SNAPSHOT_REQUEST = 8;
    private static final int INSTALL_SNAPSHOT_RESPONSE = 9;
    private static final int TRIGGER_LEADER_ELECTION = 10;

    private static final int MAX_ITEMS = 1 << 16;
    private static final String GROUP_ID = "register";

    private final DefaultRaftModelFactory models = new DefaultRaftModelFactory();

    private interface Writer {
        void write(MessageBufferPacker packer) throws IOException;
    }

    private interface Reader<T> {
        T read(MessageUnpacker unpacker) throws IOException;
    }

    private static byte[] pack(Writer writer) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            writer.write(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);   // can't happen: an in-memory buffer does no I/O
        }
    }

    private static <T> T decode(byte[] bytes, Reader<T> reader) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return reader.read(unpacker);
        } catch (IOException | MessagePackException e) {
            throw new ProtocolException("not a valid Raft message: " + e.getMessage());
        }
    }

    // ---- messages between voters

    /** Encodes a message. */
    public byte[] encode(RaftMessage message) {
        return pack(packer -> write(packer, message));
    }

    /** @throws ProtocolException if the bytes are not a message */
    public RaftMessage decodeMessage(byte[] bytes) {
        return decode(bytes, this::decodeMessage);
    }

    private void write(MessageBufferPacker packer, RaftMessage message) throws IOException {
        if (message instanceof AppendEntriesRequest request) {
            writeHeader(packer, APPEND_ENTRIES_REQUEST, message).packInt(request.getPreviousLogTerm())
                    .packLong(request.getPreviousLogIndex())
                    .packLong(request.getCommitIndex()).packLong(request.getQuerySequenceNumber())
                    .packLong(request.getFlowControlSequenceNumber()).packArrayHeader(request.getLogEntries().size());
            for (LogEntry entry : request.getLogEntries()) {
                write(packer, entry);
            }
        } else if (message instanceof AppendEntriesSuccessResponse response) {
            writeHeader(packer, APPEND_ENTRIES_SUCCESS, message).packLong(response.getLastLogIndex())
                    .packLong(response.getQuerySequenceNumber())
                    .packLong(response.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse response) {
            writeHeader(packer, APPEND_ENTRIES_FAILURE, message).packLong(response.getExpectedNextIndex())
                    .packLong(response.getQuerySequenceNumber())
                    .packLong(response.getFlowControlSequenceNumber());
        } else if (message instanceof PreVoteRequest request) {
            writeHeader(packer, PRE_VOTE_REQUEST, message).packInt(request.getLastLogTerm())
                    .packLong(request.getLastLogIndex());
        } else if (message instanceof PreVoteResponse response) {
            writeHeader(packer, PRE_VOTE_RESPONSE, message).packBoolean(response.isGranted());
        } else if (message instanceof VoteRequest request) {
            writeHeader(packer, VOTE_REQUEST, message).packInt(request.getLastLogTerm()).packLong(request.getLastLogIndex())
                    .packBoolean(request.isSticky());
        } else if (message instanceof VoteResponse response) {
            writeHeader(packer, VOTE_RESPONSE, message).packBoolean(response.isGranted());
        } else if (message instanceof InstallSnapshotRequest request) {
            writeHeader(packer, INSTALL_SNAPSHOT_REQUEST, message).packBoolean(request.isSenderLeader())
                    .packInt(request.getSnapshotTerm())
                    .packLong(request.getSnapshotIndex()).packInt(request.getTotalSnapshotChunkCount());
            packer.packBoolean(request.getSnapshotChunk() != null);
            if (request.getSnapshotChunk() != null) {
                write(packer, request.getSnapshotChunk());
            }
            writeEndpoints(packer, request.getSnapshottedMembers());
            write(packer, request.getGroupMembersView());
            packer.packLong(request.getQuerySequenceNumber()).packLong(request.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotResponse response) {
            writeHeader(packer, INSTALL_SNAPSHOT_RESPONSE, message).packLong(response.getSnapshotIndex())
                    .packInt(response.getRequestedSnapshotChunkIndex())
                    .packLong(response.getQuerySequenceNumber()).packLong(response.getFlowControlSequenceNumber());
        } else {
            TriggerLeaderElectionRequest request = (TriggerLeaderElectionRequest) message;
            writeHeader(packer, TRIGGER_LEADER_ELECTION, message).packInt(request.getLastLogTerm())
                    .packLong(request.getLastLogIndex());
        }
    }

    private static MessageBufferPacker writeHeader(MessageBufferPacker packer, int kind, RaftMessage message)
            throws IOException {
        packer.packInt(kind).packString((String) message.getSender().getId()).packInt(message.getTerm());
        return packer;
    }

    private RaftMessage decodeMessage(MessageUnpacker unpacker) throws IOException {
        int kind = unpacker.unpackInt();
        RaftEndpoint sender = new RaftLog.VoterEndpoint(unpacker.unpackString());
        int term = unpacker.unpackInt();
        return switch (kind) {
            case APPEND_ENTRIES_REQUEST ->
                models.createAppendEntriesRequestBuilder().setGroupId(GROUP_ID).setSender(sender).setTerm(term)
                        .setPreviousLogTerm(unpacker.unpackInt()).setPreviousLogIndex(unpacker.unpackLong())
                        .setCommitIndex(unpacker.unpackLong())
                        .setQuerySequenceNumber(unpacker.unpackLong()).setFlowControlSequenceNumber(unpacker.unpackLong())
                        .setLogEntries(readLogEntries(unpacker)).build();
            case APPEND_ENTRIES_SUCCESS ->
                models.createAppendEntriesSuccessResponseBuilder().setGroupId(GROUP_ID).setSender(sender)
                        .setTerm(term).setLastLogIndex(unpacker.unpackLong()).setQuerySequenceNumber(unpacker.unpackLong())
                        .setFlowControlSequenceNumber(unpacker.unpackLong()).build();
            case APPEND_ENTRIES_FAILURE -> models.createAppendEntriesFailureResponseBuilder().setGroupId(GROUP_ID)
                    .setSender(sender)
                    .setTerm(term).setExpectedNextIndex(unpacker.unpackLong()).setQuerySequenceNumber(unpacker.unpackLong())
                    .setFlowControlSequenceNumber(unpacker.unpackLong()).build();
            case PRE_VOTE_REQUEST ->
                models.createPreVoteRequestBuilder().setGroupId(GROUP_ID).setSender(sender).setTerm(term)
                        .setLastLogTerm(unpacker.unpackInt()).setLastLogIndex(unpacker.unpackLong()).build();
            case PRE_VOTE_RESPONSE ->
                models.createPreVoteResponseBuilder().setGroupId(GROUP_ID).setSender(sender).setTerm(term)
                        .setGranted(unpacker.unpackBoolean()).build();
            case VOTE_REQUEST -> models.createVoteRequestBuilder().setGroupId(GROUP_ID).setSender(sender).setTerm(term)
                    .setLastLogTerm(unpacker.unpackInt()).setLastLogIndex(unpacker.unpackLong())
                    .setSticky(unpacker.unpackBoolean()).build();
            case VOTE_RESPONSE -> models.createVoteResponseBuilder().setGroupId(GROUP_ID).setSender(sender).setTerm(term)
                    .setGranted(unpacker.unpackBoolean()).build();
            case INSTALL_SNAPSHOT_REQUEST ->
                models.createInstallSnapshotRequestBuilder().setGroupId(GROUP_ID).setSender(sender).setTerm(term)
                        .setSenderLeader(unpacker.unpackBoolean()).setSnapshotTerm(unpacker.unpackInt())
                        .setSnapshotIndex(unpacker.unpackLong())
                        .setTotalSnapshotChunkCount(unpacker.unpackInt())
                        .setSnapshotChunk(unpacker.unpackBoolean() ? readSnapshotChunk(unpacker) : null)
                        .setSnapshottedMembers(readEndpoints(unpacker)).setGroupMembersView(readMembersView(unpacker))
                        .setQuerySequenceNumber(unpacker.unpackLong()).setFlowControlSequenceNumber(unpacker.unpackLong())
                        .build();
            case INSTALL_SNAPSHOT_RESPONSE ->
                models.createInstallSnapshotResponseBuilder().setGroupId(GROUP_ID).setSender(sender).setTerm(term)
                        .setSnapshotIndex(unpacker.unpackLong()).setRequestedSnapshotChunkIndex(unpacker.unpackInt())
                        .setQuerySequenceNumber(unpacker.unpackLong()).setFlowControlSequenceNumber(unpacker.unpackLong())
                        .build();
            case TRIGGER_LEADER_ELECTION ->
                models.createTriggerLeaderElectionRequestBuilder().setGroupId(GROUP_ID).setSender(sender)
                        .setTerm(term).setLastLogTerm(unpacker.unpackInt()).setLastLogIndex(unpacker.unpackLong()).build();
            default -> throw new ProtocolException("unknown message kind " + kind + " from a voter");
        };
    }

    private static int readArrayHeader(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackArrayHeader();
        if (count > MAX_ITEMS) {
            throw new ProtocolException(count + " items exceed the limit of 65536");
        }
        return count;
    }

    private static void writeEndpoints(MessageBufferPacker packer, Collection<RaftEndpoint> endpoints) throws IOException {
        packer.packArrayHeader(endpoints.size());
        for (RaftEndpoint endpoint : endpoints) {
            packer.packString((String) endpoint.getId());
        }
    }

    private static List<RaftEndpoint> readEndpoints(MessageUnpacker unpacker) throws IOException {
        List<RaftEndpoint> endpoints = new ArrayList<>();
        for (int remaining = readArrayHeader(unpacker); remaining > 0; remaining--) {
            endpoints.add(new RaftLog.VoterEndpoint(unpacker.unpackString()));
        }
        return endpoints;
    }

    private static void write(MessageBufferPacker packer, LogEntry entry) throws IOException {
        byte[] operation = (byte[]) entry.getOperation();
        packer.packLong(entry.getIndex()).packInt(entry.getTerm()).packBinaryHeader(operation.length);
        packer.writePayload(operation);
    }

    private LogEntry readLogEntry(MessageUnpacker unpacker) throws IOException {
        return models.createLogEntryBuilder().setIndex(unpacker.unpackLong()).setTerm(unpacker.unpackInt())
                .setOperation(unpacker.readPayload(unpacker.unpackBinaryHeader())).build();
    }

    private List<LogEntry> readLogEntries(MessageUnpacker unpacker) throws IOException {
        List<LogEntry> entries = new ArrayList<>();
        for (int remaining = readArrayHeader(unpacker); remaining > 0; remaining--) {
            entries.add(readLogEntry(unpacker));
        }
        return entries;
    }

    private static void write(MessageBufferPacker packer, RaftGroupMembersView view) throws IOException {
        packer.packLong(view.getLogIndex());
        writeEndpoints(packer, view.getMembers());
        writeEndpoints(packer, view.getVotingMembers());
    }

    private RaftGroupMembersView readMembersView(MessageUnpacker unpacker) throws IOException {
        return models.createRaftGroupMembersViewBuilder().setLogIndex(unpacker.unpackLong())
                .setMembers(readEndpoints(unpacker))
                .setVotingMembers(readEndpoints(unpacker)).build();
    }

    private static void write(MessageBufferPacker packer, SnapshotChunk chunk) throws IOException {
        byte[] operation = (byte[]) chunk.getOperation();
        packer.packLong(chunk.getIndex()).packInt(chunk.getTerm()).packInt(chunk.getSnapshotChunkIndex())
                .packInt(chunk.getSnapshotChunkCount());
        write(packer, chunk.getGroupMembersView());
        packer.packBinaryHeader(operation.length);
        packer.writePayload(operation);
    }

    private SnapshotChunk readSnapshotChunk(MessageUnpacker unpacker) throws IOException {
        return models.createSnapshotChunkBuilder().setIndex(unpacker.unpackLong()).setTerm(unpacker.unpackInt())
                .setSnapshotChunkIndex(unpacker.unpackInt()).setSnapshotChunkCount(unpacker.unpackInt())
                .setGroupMembersView(readMembersView(unpacker))
                .setOperation(unpacker.readPayload(unpacker.unpackBinaryHeader())).build();
    }

    // ---- stored state

    private static <T> Serializer<T> serializer(java.util.function.Function<T, Writer> writer, Reader<T> reader) {
        return new Serializer<>() {
            @Override
            public byte[] serialize(T element) {
                return pack(writer.apply(element));
            }

            @Override
            public T deserialize(byte[] element) {
                return decode(element, reader);
            }
        };
    }

    @Override
    public Serializer<RaftGroupMembersView> raftGroupMembersViewSerializer() {
        return serializer(view -> packer -> write(packer, view), this::readMembersView);
    }

    @Override
    public Serializer<RaftEndpoint> raftEndpointSerializer() {
        return serializer(endpoint -> packer -> packer.packString((String) endpoint.getId()),
                unpacker -> new RaftLog.VoterEndpoint(unpacker.unpackString()));
    }

    @Override
    public Serializer<LogEntry> logEntrySerializer() {
        return serializer(entry -> packer -> write(packer, entry), this::readLogEntry);
    }

    @Override
    public Serializer<SnapshotChunk> snapshotChunkSerializer() {
        return serializer(chunk -> packer -> write(packer, chunk), this::readSnapshotChunk);
    }

    @Override
    public Serializer<RaftEndpointPersistentState> raftEndpointPersistentStateSerializer() {
        return serializer(state -> packer -> packer.packString((String) state.getLocalEndpoint().getId())
                .packBoolean(state.isVoting()), unpacker -> models.createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(new RaftLog.VoterEndpoint(unpacker.unpackString()))
                        .setVoting(unpacker.unpackBoolean()).build());
    }

    @Override
    public Serializer<RaftTermPersistentState> raftTermPersistentState() {
        return serializer(state -> packer -> {
            packer.packInt(state.getTerm()).packBoolean(state.getVotedFor() != null);
            if (state.getVotedFor() != null) {
                packer.packString((String) state.getVotedFor().getId());
            }
        }, unpacker -> models.createRaftTermPersistentStateBuilder().setTerm(unpacker.unpackInt())
                .setVotedFor(unpacker.unpackBoolean() ? new RaftLog.VoterEndpoint(unpacker.unpackString()) : null).build());
    }
}
