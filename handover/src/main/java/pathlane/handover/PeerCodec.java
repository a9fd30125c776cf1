package pathlane.handover;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;
import pathlane.core.CallEvent;
import pathlane.decision.Outcome;
import pathlane.handover.CallRecord.Kind;
import pathlane.wire.ProtocolException;

/**
 * Encodes the messages between members as MessagePack: a type number, then the fields. A call id of 16 hex digits takes nine
 * bytes.
 */
final class PeerCodec {

    private static final int SHARD_SNAPSHOT = 1;
    private static final int CHANGES = 2;
    private static final int VIEW_REPLICATED = 3;
    private static final int ACKNOWLEDGED = 4;
    private static final int FETCH_SHARD = 5;
    private static final int SHARD_FETCHED = 6;
    private static final int EVENT_REPORT = 7;
    private static final int EVENT_REPLY = 8;
    private static final int DROP_REPLICAS = 9;
    private static final int REPLICAS_DROPPED = 10;

    private static final int RECORD_DROPPED = -1;
    private static final int HEX_RADIX = 16;
    private static final int ID_DIGITS = 16;
    private static final int MAX_ITEMS = 1 << 20;
    private static final Kind[] RECORD_KINDS = Kind.values();
    private static final Outcome[] OUTCOMES = Outcome.values();

    private PeerCodec() {}

    static byte[] encode(PeerMessage message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            write(packer, message);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);   // never thrown: the buffer is in memory
        }
    }

    /** @throws ProtocolException if the bytes are not a message */
    static PeerMessage decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return decode(unpacker);
        } catch (IOException | MessagePackException e) {
            throw new ProtocolException("malformed message from a member: " + e.getMessage());
        }
    }

    private static void write(MessageBufferPacker packer, PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.ShardSnapshot snapshot) {
            packer.packInt(SHARD_SNAPSHOT).packLong(snapshot.owner()).packLong(snapshot.view()).packInt(snapshot.shard())
                    .packLong(snapshot.upTo());
            write(packer, snapshot.records());
        } else if (message instanceof PeerMessage.Changes changes) {
            packer.packInt(CHANGES).packLong(changes.owner()).packLong(changes.upTo())
                    .packArrayHeader(changes.changes().size());
            for (PeerMessage.Change change : changes.changes()) {
                if (change.record() == null) {
                    packer.packInt(RECORD_DROPPED);
                    writeId(packer, change.callId());
                } else {
                    write(packer, change.record());
                }
            }
        } else if (message instanceof PeerMessage.ViewReplicated viewReplicated) {
            packer.packInt(VIEW_REPLICATED).packLong(viewReplicated.owner()).packLong(viewReplicated.view())
                    .packLong(viewReplicated.upTo());
        } else if (message instanceof PeerMessage.Acknowledged acknowledged) {
            packer.packInt(ACKNOWLEDGED).packLong(acknowledged.owner()).packLong(acknowledged.upTo())
                    .packLong(acknowledged.view());
        } else if (message instanceof PeerMessage.FetchShard fetch) {
            packer.packInt(FETCH_SHARD).packLong(fetch.owner()).packInt(fetch.shard());
        } else if (message instanceof PeerMessage.ShardFetched fetched) {
            packer.packInt(SHARD_FETCHED).packLong(fetched.owner()).packInt(fetched.shard()).packLong(fetched.upTo());
            write(packer, fetched.records());
        } else if (message instanceof PeerMessage.EventReport report) {
            packer.packInt(EVENT_REPORT).packLong(report.requestId());
            write(packer, report.event());
        } else if (message instanceof PeerMessage.EventReply reply) {
            packer.packInt(EVENT_REPLY).packLong(reply.requestId()).packBoolean(reply.isHandled());
        } else if (message instanceof PeerMessage.DropReplicas drop) {
            packer.packInt(DROP_REPLICAS).packLong(drop.owner());
        } else {
            PeerMessage.ReplicasDropped dropped = (PeerMessage.ReplicasDropped) message;
            packer.packInt(REPLICAS_DROPPED).packLong(dropped.owner()).packBoolean(dropped.isDropped());
        }
    }

    private static PeerMessage decode(MessageUnpacker unpacker) throws IOException {
        int kind = unpacker.unpackInt();
        return switch (kind) {
            case SHARD_SNAPSHOT -> new PeerMessage.ShardSnapshot(unpacker.unpackLong(), unpacker.unpackLong(),
                    unpacker.unpackInt(), unpacker.unpackLong(), records(unpacker));
            case CHANGES -> new PeerMessage.Changes(unpacker.unpackLong(), unpacker.unpackLong(), changes(unpacker));
            case VIEW_REPLICATED ->
                new PeerMessage.ViewReplicated(unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong());
            case ACKNOWLEDGED ->
                new PeerMessage.Acknowledged(unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong());
            case FETCH_SHARD -> new PeerMessage.FetchShard(unpacker.unpackLong(), unpacker.unpackInt());
            case SHARD_FETCHED -> new PeerMessage.ShardFetched(unpacker.unpackLong(), unpacker.unpackInt(),
                    unpacker.unpackLong(), records(unpacker));
            case EVENT_REPORT -> new PeerMessage.EventReport(unpacker.unpackLong(), event(unpacker));
            case EVENT_REPLY -> new PeerMessage.EventReply(unpacker.unpackLong(), unpacker.unpackBoolean());
            case DROP_REPLICAS -> new PeerMessage.DropReplicas(unpacker.unpackLong());
            case REPLICAS_DROPPED -> new PeerMessage.ReplicasDropped(unpacker.unpackLong(), unpacker.unpackBoolean());
            default -> throw new ProtocolException("unknown message type " + kind + " from a member");
        };
    }

    private static void write(MessageBufferPacker packer, List<CallRecord> records) throws IOException {
        packer.packArrayHeader(records.size());
        for (CallRecord record : records) {
            write(packer, record);
        }
    }

    private static void write(MessageBufferPacker packer, CallRecord record) throws IOException {
        packer.packInt(record.kind().ordinal());
        writeId(packer, record.callId());
        switch (record.kind()) {
            case IN_FLIGHT, RETRY_DELAYED -> {
                packer.packLong(record.server()).packString(record.clientKey()).packLong(record.remaining().toMillis());
                binary(packer, record.releaseToken());
            }
            case ESTABLISHED -> {
                packer.packLong(record.server()).packString(record.clientKey());
                binary(packer, record.releaseToken());
            }
            case CLIENT_RELEASE_PENDING -> packer.packString(record.clientKey()).packInt(record.outcome().ordinal());
            case SERVER_RELEASE_PENDING -> {
                packer.packLong(record.server());
                binary(packer, record.releaseToken());
            }
            case COMPLETED -> {}
        }
    }

    private static List<CallRecord> records(MessageUnpacker unpacker) throws IOException {
        int items = readItemCount(unpacker);
        List<CallRecord> records = new ArrayList<>(Math.min(items, 1024));
        for (int i = 0; i < items; i++) {
            records.add(record(unpacker, unpacker.unpackInt()));
        }
        return records;
    }

    private static List<PeerMessage.Change> changes(MessageUnpacker unpacker) throws IOException {
        int items = readItemCount(unpacker);
        List<PeerMessage.Change> changes = new ArrayList<>(Math.min(items, 1024));
        for (int i = 0; i < items; i++) {
            int kind = unpacker.unpackInt();
            if (kind == RECORD_DROPPED) {
                changes.add(new PeerMessage.Change(readId(unpacker), null));
            } else {
                CallRecord record = record(unpacker, kind);
                changes.add(new PeerMessage.Change(record.callId(), record));
            }
        }
        return changes;
    }

    private static CallRecord record(MessageUnpacker unpacker, int kind) throws IOException {
        if (kind < 0 || kind >= RECORD_KINDS.length) {
            throw new ProtocolException("unknown record kind " + kind);
        }
        String callId = readId(unpacker);
        return switch (RECORD_KINDS[kind]) {
            case IN_FLIGHT -> CallRecord.inFlight(callId, unpacker.unpackLong(), unpacker.unpackString(),
                    Duration.ofMillis(unpacker.unpackLong()), binary(unpacker));
            case RETRY_DELAYED -> CallRecord.retryDelayed(callId, unpacker.unpackLong(), unpacker.unpackString(),
                    Duration.ofMillis(unpacker.unpackLong()), binary(unpacker));
            case ESTABLISHED ->
                CallRecord.established(callId, unpacker.unpackLong(), unpacker.unpackString(), binary(unpacker));
            case CLIENT_RELEASE_PENDING ->
                CallRecord.clientReleasePending(callId, unpacker.unpackString(), outcome(unpacker));
            case SERVER_RELEASE_PENDING -> CallRecord.serverReleasePending(callId, unpacker.unpackLong(), binary(unpacker));
            case COMPLETED -> CallRecord.completed(callId);
        };
    }

    private static Outcome outcome(MessageUnpacker unpacker) throws IOException {
        int ordinal = unpacker.unpackInt();
        if (ordinal < 0 || ordinal >= OUTCOMES.length) {
            throw new ProtocolException("unknown outcome " + ordinal);
        }
        return OUTCOMES[ordinal];
    }

    private static void write(MessageBufferPacker packer, CallEvent event) throws IOException {
        if (event instanceof CallEvent.Released released) {
            packer.packBoolean(true);
            writeId(packer, released.callId());
            binary(packer, released.content());
        } else {
            CallEvent.Ended ended = (CallEvent.Ended) event;
            packer.packBoolean(false);
            writeId(packer, ended.callId());
            packer.packInt(ended.outcome().ordinal());
        }
    }

    private static CallEvent event(MessageUnpacker unpacker) throws IOException {
        if (unpacker.unpackBoolean()) {
            String callId = readId(unpacker);
            return new CallEvent.Released(callId, binary(unpacker));
        }
        return new CallEvent.Ended(readId(unpacker), outcome(unpacker));
    }

    private static void binary(MessageBufferPacker packer, byte[] bytes) throws IOException {
        packer.packBinaryHeader(bytes.length);
        packer.writePayload(bytes);
    }

    private static byte[] binary(MessageUnpacker unpacker) throws IOException {
        return unpacker.readPayload(unpacker.unpackBinaryHeader());
    }

    private static int readItemCount(MessageUnpacker unpacker) throws IOException {
        int items = unpacker.unpackArrayHeader();
        if (items > MAX_ITEMS) {
            throw new ProtocolException(items + " items exceed the limit");
        }
        return items;
    }

    private static void writeId(MessageBufferPacker packer, String callId) throws IOException {
        if (isHex(callId)) {
            packer.packLong(Long.parseUnsignedLong(callId, HEX_RADIX));
        } else {
            packer.packString(callId);
        }
    }

    /** Whether decoding the id's number gives exactly this id. */
    private static boolean isHex(String callId) {
        if (callId.length() != ID_DIGITS) {
            return false;
        }
        for (int i = 0; i < ID_DIGITS; i++) {
            char c = callId.charAt(i);
            if ((c < '0' || c > '9') && (c < 'a' || c > 'f')) {
                return false;
            }
        }
        return true;
    }

    private static String readId(MessageUnpacker unpacker) throws IOException {
        if (unpacker.getNextFormat().getValueType() == ValueType.STRING) {
            return unpacker.unpackString();
        }
        String digits = Long.toHexString(unpacker.unpackLong());
        return "0".repeat(ID_DIGITS - digits.length()) + digits;
    }
}
