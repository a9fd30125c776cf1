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
import pathlane.wire.BadInput;

/** Encodes the Raft library's messages and stored state as MessagePack: a kind, then the fields in a fixed order. */
public final class RaftCodec implements RaftStoreSerializer {

    private static final int APPEND = 1;
    private static final int APPENDED = 2;
    private static final int NOT_APPENDED = 3;
    private static final int PRE_VOTE = 4;
    private static final int PRE_VOTED = 5;
    private static final int VOTE = 6;
    private static final int VOTED = 7;
    private static final int INSTALL = 8;
    private static final int INSTALLED = 9;
    private static final int TRIGGER = 10;

    private static final int MOST_ITEMS = 1 << 16;
    private static final String GROUP = "register";

    private final DefaultRaftModelFactory models = new DefaultRaftModelFactory();

    private interface Writer {
        void write(MessageBufferPacker packer) throws IOException;
    }

    private interface Reader<T> {
        T read(MessageUnpacker unpacker) throws IOException;
    }

    private static byte[] packed(Writer writer) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            writer.write(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);   // can't happen: an in-memory buffer does no I/O
        }
    }

    private static <T> T read(byte[] bytes, Reader<T> reader) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return reader.read(unpacker);
        } catch (IOException | MessagePackException e) {
            throw new BadInput("not a valid Raft message: " + e.getMessage());
        }
    }

    // ---- messages between voters

    /** Encodes a message. */
    public byte[] bytes(RaftMessage message) {
        return packed(packer -> write(packer, message));
    }

    /** @throws BadInput if the bytes are not a message */
    public RaftMessage message(byte[] bytes) {
        return read(bytes, this::message);
    }

    private void write(MessageBufferPacker packer, RaftMessage message) throws IOException {
        if (message instanceof AppendEntriesRequest request) {
            head(packer, APPEND, message).packInt(request.getPreviousLogTerm()).packLong(request.getPreviousLogIndex())
                    .packLong(request.getCommitIndex()).packLong(request.getQuerySequenceNumber())
                    .packLong(request.getFlowControlSequenceNumber()).packArrayHeader(request.getLogEntries().size());
            for (LogEntry entry : request.getLogEntries()) {
                write(packer, entry);
            }
        } else if (message instanceof AppendEntriesSuccessResponse response) {
            head(packer, APPENDED, message).packLong(response.getLastLogIndex()).packLong(response.getQuerySequenceNumber())
                    .packLong(response.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse response) {
            head(packer, NOT_APPENDED, message).packLong(response.getExpectedNextIndex()).packLong(response.getQuerySequenceNumber())
                    .packLong(response.getFlowControlSequenceNumber());
        } else if (message instanceof PreVoteRequest request) {
            head(packer, PRE_VOTE, message).packInt(request.getLastLogTerm()).packLong(request.getLastLogIndex());
        } else if (message instanceof PreVoteResponse response) {
            head(packer, PRE_VOTED, message).packBoolean(response.isGranted());
        } else if (message instanceof VoteRequest request) {
            head(packer, VOTE, message).packInt(request.getLastLogTerm()).packLong(request.getLastLogIndex())
                    .packBoolean(request.isSticky());
        } else if (message instanceof VoteResponse response) {
            head(packer, VOTED, message).packBoolean(response.isGranted());
        } else if (message instanceof InstallSnapshotRequest request) {
            head(packer, INSTALL, message).packBoolean(request.isSenderLeader()).packInt(request.getSnapshotTerm())
                    .packLong(request.getSnapshotIndex()).packInt(request.getTotalSnapshotChunkCount());
            packer.packBoolean(request.getSnapshotChunk() != null);
            if (request.getSnapshotChunk() != null) {
                write(packer, request.getSnapshotChunk());
            }
            writeNames(packer, request.getSnapshottedMembers());
            write(packer, request.getGroupMembersView());
            packer.packLong(request.getQuerySequenceNumber()).packLong(request.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotResponse response) {
            head(packer, INSTALLED, message).packLong(response.getSnapshotIndex()).packInt(response.getRequestedSnapshotChunkIndex())
                    .packLong(response.getQuerySequenceNumber()).packLong(response.getFlowControlSequenceNumber());
        } else {
            TriggerLeaderElectionRequest request = (TriggerLeaderElectionRequest) message;
            head(packer, TRIGGER, message).packInt(request.getLastLogTerm()).packLong(request.getLastLogIndex());
        }
    }

    private static MessageBufferPacker head(MessageBufferPacker packer, int kind, RaftMessage message) throws IOException {
        packer.packInt(kind).packString((String) message.getSender().getId()).packInt(message.getTerm());
        return packer;
    }

    private RaftMessage message(MessageUnpacker in) throws IOException {
        int kind = in.unpackInt();
        RaftEndpoint sender = new RaftLog.Name(in.unpackString());
        int term = in.unpackInt();
        return switch (kind) {
            case APPEND -> models.createAppendEntriesRequestBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                    .setPreviousLogTerm(in.unpackInt()).setPreviousLogIndex(in.unpackLong()).setCommitIndex(in.unpackLong())
                    .setQuerySequenceNumber(in.unpackLong()).setFlowControlSequenceNumber(in.unpackLong())
                    .setLogEntries(entries(in)).build();
            case APPENDED -> models.createAppendEntriesSuccessResponseBuilder().setGroupId(GROUP).setSender(sender)
                    .setTerm(term).setLastLogIndex(in.unpackLong()).setQuerySequenceNumber(in.unpackLong())
                    .setFlowControlSequenceNumber(in.unpackLong()).build();
            case NOT_APPENDED -> models.createAppendEntriesFailureResponseBuilder().setGroupId(GROUP).setSender(sender)
                    .setTerm(term).setExpectedNextIndex(in.unpackLong()).setQuerySequenceNumber(in.unpackLong())
                    .setFlowControlSequenceNumber(in.unpackLong()).build();
            case PRE_VOTE -> models.createPreVoteRequestBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                    .setLastLogTerm(in.unpackInt()).setLastLogIndex(in.unpackLong()).build();
            case PRE_VOTED -> models.createPreVoteResponseBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                    .setGranted(in.unpackBoolean()).build();
            case VOTE -> models.createVoteRequestBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                    .setLastLogTerm(in.unpackInt()).setLastLogIndex(in.unpackLong()).setSticky(in.unpackBoolean()).build();
            case VOTED -> models.createVoteResponseBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                    .setGranted(in.unpackBoolean()).build();
            case INSTALL -> models.createInstallSnapshotRequestBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                    .setSenderLeader(in.unpackBoolean()).setSnapshotTerm(in.unpackInt()).setSnapshotIndex(in.unpackLong())
                    .setTotalSnapshotChunkCount(in.unpackInt()).setSnapshotChunk(in.unpackBoolean() ? chunk(in) : null)
                    .setSnapshottedMembers(names(in)).setGroupMembersView(view(in))
                    .setQuerySequenceNumber(in.unpackLong()).setFlowControlSequenceNumber(in.unpackLong()).build();
            case INSTALLED -> models.createInstallSnapshotResponseBuilder().setGroupId(GROUP).setSender(sender).setTerm(term)
                    .setSnapshotIndex(in.unpackLong()).setRequestedSnapshotChunkIndex(in.unpackInt())
                    .setQuerySequenceNumber(in.unpackLong()).setFlowControlSequenceNumber(in.unpackLong()).build();
            case TRIGGER -> models.createTriggerLeaderElectionRequestBuilder().setGroupId(GROUP).setSender(sender)
                    .setTerm(term).setLastLogTerm(in.unpackInt()).setLastLogIndex(in.unpackLong()).build();
            default -> throw new BadInput("unknown message kind " + kind + " from a voter");
        };
    }

    private static int items(MessageUnpacker in) throws IOException {
        int items = in.unpackArrayHeader();
        if (items > MOST_ITEMS) {
            throw new BadInput(items + " items exceed the limit of 65536");
        }
        return items;
    }

    private static void writeNames(MessageBufferPacker packer, Collection<RaftEndpoint> names) throws IOException {
        packer.packArrayHeader(names.size());
        for (RaftEndpoint name : names) {
            packer.packString((String) name.getId());
        }
    }

    private static List<RaftEndpoint> names(MessageUnpacker in) throws IOException {
        List<RaftEndpoint> names = new ArrayList<>();
        for (int left = items(in); left > 0; left--) {
            names.add(new RaftLog.Name(in.unpackString()));
        }
        return names;
    }

    private static void write(MessageBufferPacker packer, LogEntry entry) throws IOException {
        byte[] operation = (byte[]) entry.getOperation();
        packer.packLong(entry.getIndex()).packInt(entry.getTerm()).packBinaryHeader(operation.length);
        packer.writePayload(operation);
    }

    private LogEntry entry(MessageUnpacker in) throws IOException {
        return models.createLogEntryBuilder().setIndex(in.unpackLong()).setTerm(in.unpackInt())
                .setOperation(in.readPayload(in.unpackBinaryHeader())).build();
    }

    private List<LogEntry> entries(MessageUnpacker in) throws IOException {
        List<LogEntry> entries = new ArrayList<>();
        for (int left = items(in); left > 0; left--) {
            entries.add(entry(in));
        }
        return entries;
    }

    private static void write(MessageBufferPacker packer, RaftGroupMembersView view) throws IOException {
        packer.packLong(view.getLogIndex());
        writeNames(packer, view.getMembers());
        writeNames(packer, view.getVotingMembers());
    }

    private RaftGroupMembersView view(MessageUnpacker in) throws IOException {
        return models.createRaftGroupMembersViewBuilder().setLogIndex(in.unpackLong()).setMembers(names(in))
                .setVotingMembers(names(in)).build();
    }

    private static void write(MessageBufferPacker packer, SnapshotChunk chunk) throws IOException {
        byte[] operation = (byte[]) chunk.getOperation();
        packer.packLong(chunk.getIndex()).packInt(chunk.getTerm()).packInt(chunk.getSnapshotChunkIndex())
                .packInt(chunk.getSnapshotChunkCount());
        write(packer, chunk.getGroupMembersView());
        packer.packBinaryHeader(operation.length);
        packer.writePayload(operation);
    }

    private SnapshotChunk chunk(MessageUnpacker in) throws IOException {
        return models.createSnapshotChunkBuilder().setIndex(in.unpackLong()).setTerm(in.unpackInt())
                .setSnapshotChunkIndex(in.unpackInt()).setSnapshotChunkCount(in.unpackInt()).setGroupMembersView(view(in))
                .setOperation(in.readPayload(in.unpackBinaryHeader())).build();
    }

    // ---- stored state

    private static <T> Serializer<T> serializer(java.util.function.Function<T, Writer> writes, Reader<T> reads) {
        return new Serializer<>() {
            @Override
            public byte[] serialize(T element) {
                return packed(writes.apply(element));
            }

            @Override
            public T deserialize(byte[] element) {
                return read(element, reads);
            }
        };
    }

    @Override
    public Serializer<RaftGroupMembersView> raftGroupMembersViewSerializer() {
        return serializer(view -> packer -> write(packer, view), this::view);
    }

    @Override
    public Serializer<RaftEndpoint> raftEndpointSerializer() {
        return serializer(name -> packer -> packer.packString((String) name.getId()),
                in -> new RaftLog.Name(in.unpackString()));
    }

    @Override
    public Serializer<LogEntry> logEntrySerializer() {
        return serializer(entry -> packer -> write(packer, entry), this::entry);
    }

    @Override
    public Serializer<SnapshotChunk> snapshotChunkSerializer() {
        return serializer(chunk -> packer -> write(packer, chunk), this::chunk);
    }

    @Override
    public Serializer<RaftEndpointPersistentState> raftEndpointPersistentStateSerializer() {
        return serializer(state -> packer -> packer.packString((String) state.getLocalEndpoint().getId())
                .packBoolean(state.isVoting()), in -> models.createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(new RaftLog.Name(in.unpackString())).setVoting(in.unpackBoolean()).build());
    }

    @Override
    public Serializer<RaftTermPersistentState> raftTermPersistentState() {
        return serializer(state -> packer -> {
            packer.packInt(state.getTerm()).packBoolean(state.getVotedFor() != null);
            if (state.getVotedFor() != null) {
                packer.packString((String) state.getVotedFor().getId());
            }
        }, in -> models.createRaftTermPersistentStateBuilder().setTerm(in.unpackInt())
                .setVotedFor(in.unpackBoolean() ? new RaftLog.Name(in.unpackString()) : null).build());
    }
}
