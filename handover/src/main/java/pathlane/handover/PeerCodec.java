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
import pathlane.wire.BadInput;

/** The messages between members as MessagePack: a kind, then the fields. An id of 16 hex digits takes nine bytes. */
final class PeerCodec {

    private static final int SLOT = 1;
    private static final int CHANGES = 2;
    private static final int PLACED = 3;
    private static final int KEPT = 4;
    private static final int PULL = 5;
    private static final int PULLED = 6;
    private static final int TOLD = 7;
    private static final int KNOWN = 8;
    private static final int FREE = 9;
    private static final int FREED = 10;

    private static final int DROPPED = -1;
    private static final int HEX = 16;
    private static final int ID_DIGITS = 16;
    private static final int MOST_ITEMS = 1 << 20;
    private static final Kind[] KINDS = Kind.values();
    private static final Outcome[] ENDINGS = Outcome.values();

    private PeerCodec() {}

    static byte[] bytes(PeerMessage message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            write(packer, message);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);   // a buffer in memory has none
        }
    }

    /** @throws BadInput where it is none */
    static PeerMessage read(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return read(unpacker);
        } catch (IOException | MessagePackException e) {
            throw new BadInput("not a message of a member: " + e.getMessage());
        }
    }

    private static void write(MessageBufferPacker packer, PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.ShardSnapshot shard) {
            packer.packInt(SLOT).packLong(shard.owner()).packLong(shard.view()).packInt(shard.shard())
                    .packLong(shard.upTo());
            write(packer, shard.records());
        } else if (message instanceof PeerMessage.Changes changes) {
            packer.packInt(CHANGES).packLong(changes.owner()).packLong(changes.upTo())
                    .packArrayHeader(changes.changes().size());
            for (PeerMessage.Change change : changes.changes()) {
                if (change.record() == null) {
                    packer.packInt(DROPPED);
                    writeId(packer, change.callId());
                } else {
                    write(packer, change.record());
                }
            }
        } else if (message instanceof PeerMessage.ViewReplicated placed) {
            packer.packInt(PLACED).packLong(placed.owner()).packLong(placed.view()).packLong(placed.upTo());
        } else if (message instanceof PeerMessage.Acknowledged kept) {
            packer.packInt(KEPT).packLong(kept.owner()).packLong(kept.upTo()).packLong(kept.view());
        } else if (message instanceof PeerMessage.FetchShard pull) {
            packer.packInt(PULL).packLong(pull.owner()).packInt(pull.shard());
        } else if (message instanceof PeerMessage.ShardFetched pulled) {
            packer.packInt(PULLED).packLong(pulled.owner()).packInt(pulled.shard()).packLong(pulled.upTo());
            write(packer, pulled.records());
        } else if (message instanceof PeerMessage.EventReport told) {
            packer.packInt(TOLD).packLong(told.requestId());
            write(packer, told.event());
        } else if (message instanceof PeerMessage.EventReply known) {
            packer.packInt(KNOWN).packLong(known.requestId()).packBoolean(known.isHandled());
        } else if (message instanceof PeerMessage.DropReplicas free) {
            packer.packInt(FREE).packLong(free.owner());
        } else {
            PeerMessage.ReplicasDropped freed = (PeerMessage.ReplicasDropped) message;
            packer.packInt(FREED).packLong(freed.owner()).packBoolean(freed.isDropped());
        }
    }

    private static PeerMessage read(MessageUnpacker unpacker) throws IOException {
        int kind = unpacker.unpackInt();
        return switch (kind) {
            case SLOT -> new PeerMessage.ShardSnapshot(unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackInt(),
                    unpacker.unpackLong(),
                    records(unpacker));
            case CHANGES -> new PeerMessage.Changes(unpacker.unpackLong(), unpacker.unpackLong(), changes(unpacker));
            case PLACED ->
                new PeerMessage.ViewReplicated(unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong());
            case KEPT -> new PeerMessage.Acknowledged(unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong());
            case PULL -> new PeerMessage.FetchShard(unpacker.unpackLong(), unpacker.unpackInt());
            case PULLED -> new PeerMessage.ShardFetched(unpacker.unpackLong(), unpacker.unpackInt(), unpacker.unpackLong(),
                    records(unpacker));
            case TOLD -> new PeerMessage.EventReport(unpacker.unpackLong(), event(unpacker));
            case KNOWN -> new PeerMessage.EventReply(unpacker.unpackLong(), unpacker.unpackBoolean());
            case FREE -> new PeerMessage.DropReplicas(unpacker.unpackLong());
            case FREED -> new PeerMessage.ReplicasDropped(unpacker.unpackLong(), unpacker.unpackBoolean());
            default -> throw new BadInput("a message of kind " + kind + " from a member");
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
        int items = items(unpacker);
        List<CallRecord> records = new ArrayList<>(Math.min(items, 1024));
        for (int i = 0; i < items; i++) {
            records.add(record(unpacker, unpacker.unpackInt()));
        }
        return records;
    }

    private static List<PeerMessage.Change> changes(MessageUnpacker unpacker) throws IOException {
        int items = items(unpacker);
        List<PeerMessage.Change> changes = new ArrayList<>(Math.min(items, 1024));
        for (int i = 0; i < items; i++) {
            int kind = unpacker.unpackInt();
            if (kind == DROPPED) {
                changes.add(new PeerMessage.Change(readId(unpacker), null));
            } else {
                CallRecord record = record(unpacker, kind);
                changes.add(new PeerMessage.Change(record.callId(), record));
            }
        }
        return changes;
    }

    private static CallRecord record(MessageUnpacker unpacker, int kind) throws IOException {
        if (kind < 0 || kind >= KINDS.length) {
            throw new BadInput("a record of kind " + kind);
        }
        String call = readId(unpacker);
        return switch (KINDS[kind]) {
            case IN_FLIGHT -> CallRecord.inFlight(call, unpacker.unpackLong(), unpacker.unpackString(),
                    Duration.ofMillis(unpacker.unpackLong()), binary(unpacker));
            case RETRY_DELAYED -> CallRecord.retryDelayed(call, unpacker.unpackLong(), unpacker.unpackString(),
                    Duration.ofMillis(unpacker.unpackLong()), binary(unpacker));
            case ESTABLISHED ->
                CallRecord.established(call, unpacker.unpackLong(), unpacker.unpackString(), binary(unpacker));
            case CLIENT_RELEASE_PENDING -> CallRecord.clientReleasePending(call, unpacker.unpackString(), ending(unpacker));
            case SERVER_RELEASE_PENDING -> CallRecord.serverReleasePending(call, unpacker.unpackLong(), binary(unpacker));
            case COMPLETED -> CallRecord.completed(call);
        };
    }

    private static Outcome ending(MessageUnpacker unpacker) throws IOException {
        int place = unpacker.unpackInt();
        if (place < 0 || place >= ENDINGS.length) {
            throw new BadInput("an end of kind " + place);
        }
        return ENDINGS[place];
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
            String call = readId(unpacker);
            return new CallEvent.Released(call, binary(unpacker));
        }
        return new CallEvent.Ended(readId(unpacker), ending(unpacker));
    }

    private static void binary(MessageBufferPacker packer, byte[] bytes) throws IOException {
        packer.packBinaryHeader(bytes.length);
        packer.writePayload(bytes);
    }

    private static byte[] binary(MessageUnpacker unpacker) throws IOException {
        return unpacker.readPayload(unpacker.unpackBinaryHeader());
    }

    private static int items(MessageUnpacker unpacker) throws IOException {
        int items = unpacker.unpackArrayHeader();
        if (items > MOST_ITEMS) {
            throw new BadInput(items + " items");
        }
        return items;
    }

    private static void writeId(MessageBufferPacker packer, String call) throws IOException {
        if (isHex(call)) {
            packer.packLong(Long.parseUnsignedLong(call, HEX));
        } else {
            packer.packString(call);
        }
    }

    /** Whether the id is just as it would be read back from its number. */
    private static boolean isHex(String call) {
        if (call.length() != ID_DIGITS) {
            return false;
        }
        for (int i = 0; i < ID_DIGITS; i++) {
            char c = call.charAt(i);
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
