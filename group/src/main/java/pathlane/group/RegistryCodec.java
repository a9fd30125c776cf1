package pathlane.group;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import pathlane.wire.ProtocolException;

/** Encodes the registry's commands, replies and snapshots as MessagePack: a kind, then the fields in a fixed order. */
public final class RegistryCodec {

    private static final int JOIN = 1;
    private static final int RENEW = 2;
    private static final int LEAVE = 3;
    private static final int EXPIRE = 4;
    private static final int REPLICATED = 5;
    private static final int CLAIM = 6;
    private static final int COMPLETE = 7;
    private static final int RECLAIM = 8;

    private static final int GRANTED = 1;
    private static final int ENDED = 2;
    private static final int OWNED = 3;
    private static final int DONE = 4;
    private static final int REFUSED = 5;

    /** Bounds the memory that a malformed array length can make a reader allocate; no group reaches it. */
    private static final int MAX_ITEMS = 1 << 20;

    private RegistryCodec() {}

    /** Encodes a command. */
    public static byte[] encode(Command command) {
        return pack(packer -> write(packer, command));
    }

    /** @throws ProtocolException if the bytes are not a command */
    public static Command decodeCommand(byte[] bytes) {
        return decode(bytes, RegistryCodec::decodeCommand);
    }

    /** Encodes a reply. */
    public static byte[] encode(Reply reply) {
        return pack(packer -> write(packer, reply));
    }

    /** @throws ProtocolException if the bytes are not a reply */
    public static Reply decodeReply(byte[] bytes) {
        return decode(bytes, RegistryCodec::decodeReply);
    }

    /** Encodes a snapshot of the registry. */
    public static byte[] encode(LeaseRegistry registry) {
        return pack(packer -> write(packer, registry.snapshot()));
    }

    /** @throws ProtocolException if the bytes are not a snapshot */
    public static LeaseRegistry decodeRegistry(byte[] bytes) {
        return decode(bytes, unpacker -> LeaseRegistry.restore(readSnapshot(unpacker)));
    }

    interface Writer {
        void write(MessageBufferPacker packer) throws IOException;
    }

    interface Reader<T> {
        T read(MessageUnpacker unpacker) throws IOException;
    }

    static byte[] pack(Writer writer) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            writer.write(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);   // can't happen: an in-memory buffer does no I/O
        }
    }

    static <T> T decode(byte[] bytes, Reader<T> reader) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return reader.read(unpacker);
        } catch (IOException | MessagePackException e) {
            throw new ProtocolException("not a valid registry message: " + e.getMessage());
        }
    }

    static int readArrayHeader(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackArrayHeader();
        if (count > MAX_ITEMS) {
            throw new ProtocolException(count + " items exceed the limit of 1048576");
        }
        return count;
    }

    private static void write(MessageBufferPacker packer, Command command) throws IOException {
        if (command instanceof Command.Join join) {
            packer.packInt(JOIN).packString(join.name()).packLong(join.incarnation()).packString(join.address())
                    .packLong(join.previousToken()).packInt(join.replicaCount()).packBoolean(join.areReplicasDropped());
        } else if (command instanceof Command.Renew renew) {
            packer.packInt(RENEW).packArrayHeader(renew.renewals().size());
            for (Command.Renewal renewal : renew.renewals()) {
                packer.packLong(renewal.token()).packLong(renewal.renewalNumber());
            }
        } else if (command instanceof Command.Leave leave) {
            packer.packInt(LEAVE).packLong(leave.token());
        } else if (command instanceof Command.Expire expire) {
            packer.packInt(EXPIRE).packLong(expire.token()).packLong(expire.renewalNumber());
        } else if (command instanceof Command.Replicated replicated) {
            packer.packInt(REPLICATED).packLong(replicated.token()).packLong(replicated.viewNumber());
        } else if (command instanceof Command.Claim claim) {
            packer.packInt(CLAIM).packLong(claim.claimerToken()).packLong(claim.formerToken());
            writeShards(packer, claim.shards());
        } else if (command instanceof Command.Reclaim reclaim) {
            packer.packInt(RECLAIM).packLong(reclaim.token()).packLong(reclaim.formerToken());
            writeShards(packer, reclaim.shards());
        } else {
            Command.Complete complete = (Command.Complete) command;
            packer.packInt(COMPLETE).packLong(complete.claimerToken()).packLong(complete.formerToken());
            writeShards(packer, complete.shards());
        }
    }

    private static Command decodeCommand(MessageUnpacker unpacker) throws IOException {
        int kind = unpacker.unpackInt();
        switch (kind) {
            case JOIN -> {
                return new Command.Join(unpacker.unpackString(), unpacker.unpackLong(), unpacker.unpackString(),
                        unpacker.unpackLong(), unpacker.unpackInt(), unpacker.unpackBoolean());
            }
            case RENEW -> {
                int count = readArrayHeader(unpacker);
                List<Command.Renewal> renewals = new ArrayList<>();
                for (int i = 0; i < count; i++) {
                    renewals.add(new Command.Renewal(unpacker.unpackLong(), unpacker.unpackLong()));
                }
                return new Command.Renew(renewals);
            }
            case LEAVE -> {
                return new Command.Leave(unpacker.unpackLong());
            }
            case EXPIRE -> {
                return new Command.Expire(unpacker.unpackLong(), unpacker.unpackLong());
            }
            case REPLICATED -> {
                return new Command.Replicated(unpacker.unpackLong(), unpacker.unpackLong());
            }
            case CLAIM -> {
                return new Command.Claim(unpacker.unpackLong(), unpacker.unpackLong(), readShards(unpacker));
            }
            case RECLAIM -> {
                return new Command.Reclaim(unpacker.unpackLong(), unpacker.unpackLong(), readShards(unpacker));
            }
            case COMPLETE -> {
                return new Command.Complete(unpacker.unpackLong(), unpacker.unpackLong(), readShards(unpacker));
            }
            default -> throw new ProtocolException("unknown command kind " + kind);
        }
    }

    private static void writeShards(MessageBufferPacker packer, List<Integer> shards) throws IOException {
        packer.packArrayHeader(shards.size());
        for (int shard : shards) {
            packer.packInt(shard);
        }
    }

    private static List<Integer> readShards(MessageUnpacker unpacker) throws IOException {
        int count = readArrayHeader(unpacker);
        List<Integer> shards = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            shards.add(unpacker.unpackInt());
        }
        return shards;
    }

    private static void write(MessageBufferPacker packer, Reply reply) throws IOException {
        if (reply instanceof Reply.Granted granted) {
            packer.packInt(GRANTED).packLong(granted.token());
        } else if (reply instanceof Reply.Ended ended) {
            packer.packInt(ENDED).packArrayHeader(ended.tokens().size());
            for (long token : ended.tokens()) {
                packer.packLong(token);
            }
        } else if (reply instanceof Reply.Owned owned) {
            packer.packInt(OWNED);
            writeShards(packer, owned.shards());
        } else if (reply instanceof Reply.Refused refused) {
            packer.packInt(REFUSED).packString(refused.reason());
        } else {
            packer.packInt(DONE);
        }
    }

    private static Reply decodeReply(MessageUnpacker unpacker) throws IOException {
        int kind = unpacker.unpackInt();
        switch (kind) {
            case GRANTED -> {
                return new Reply.Granted(unpacker.unpackLong());
            }
            case ENDED -> {
                return new Reply.Ended(readTokens(unpacker));
            }
            case OWNED -> {
                return new Reply.Owned(readShards(unpacker));
            }
            case DONE -> {
                return Reply.DONE;
            }
            case REFUSED -> {
                return new Reply.Refused(unpacker.unpackString());
            }
            default -> throw new ProtocolException("unknown reply kind " + kind);
        }
    }

    private static List<Long> readTokens(MessageUnpacker unpacker) throws IOException {
        List<Long> tokens = new ArrayList<>();
        for (int remaining = readArrayHeader(unpacker); remaining > 0; remaining--) {
            tokens.add(unpacker.unpackLong());
        }
        return tokens;
    }

    private static void write(MessageBufferPacker packer, LeaseRegistry.Snapshot snapshot) throws IOException {
        packer.packLong(snapshot.lastToken()).packLong(snapshot.view()).packInt(snapshot.replicaCount());
        packer.packArrayHeader(snapshot.leases().size());
        for (LeaseRegistry.Lease lease : snapshot.leases().values()) {
            write(packer, lease.member);
            packer.packLong(lease.renewals).packLong(lease.replicatedView);
        }
        packer.packArrayHeader(snapshot.orphans().size());
        for (OrphanedShards orphan : snapshot.orphans().values()) {
            write(packer, orphan.formerOwner());
            packer.packLong(orphan.view()).packArrayHeader(orphan.owners().size());
            for (var shard : orphan.owners().entrySet()) {
                packer.packInt(shard.getKey()).packLong(shard.getValue());
                List<Long> previousOwners = orphan.previousOwners(shard.getKey());
                packer.packArrayHeader(previousOwners.size());
                for (long token : previousOwners) {
                    packer.packLong(token);
                }
            }
        }
        packer.packArrayHeader(snapshot.unclaimable().size());
        for (UnclaimableShards.Entry entry : snapshot.unclaimable().values()) {
            write(packer, entry.formerOwner());
            byte[] shards = entry.shards().toByteArray();
            packer.packBinaryHeader(shards.length);
            packer.writePayload(shards);
        }
        packer.packArrayHeader(snapshot.views().size());
        for (var view : snapshot.views().entrySet()) {
            packer.packLong(view.getKey()).packArrayHeader(view.getValue().size());
            for (Member member : view.getValue()) {
                write(packer, member);
            }
        }
    }

    private static LeaseRegistry.Snapshot readSnapshot(MessageUnpacker unpacker) throws IOException {
        long lastToken = unpacker.unpackLong();
        long view = unpacker.unpackLong();
        int replicaCount = unpacker.unpackInt();
        SortedMap<Long, LeaseRegistry.Lease> leases = new TreeMap<>();
        for (int remaining = readArrayHeader(unpacker); remaining > 0; remaining--) {
            LeaseRegistry.Lease lease = new LeaseRegistry.Lease(readMember(unpacker));
            lease.renewals = unpacker.unpackLong();
            lease.replicatedView = unpacker.unpackLong();
            leases.put(lease.member.token(), lease);
        }
        SortedMap<Long, OrphanedShards> orphans = new TreeMap<>();
        for (int remaining = readArrayHeader(unpacker); remaining > 0; remaining--) {
            Member formerOwner = readMember(unpacker);
            long orphanView = unpacker.unpackLong();
            SortedMap<Integer, Long> owners = new TreeMap<>();
            SortedMap<Integer, List<Long>> previousOwners = new TreeMap<>();
            for (int remainingShards = readArrayHeader(unpacker); remainingShards > 0; remainingShards--) {
                int shard = unpacker.unpackInt();
                owners.put(shard, unpacker.unpackLong());
                previousOwners.put(shard, readTokens(unpacker));
            }
            orphans.put(formerOwner.token(), OrphanedShards.restore(formerOwner, orphanView, owners, previousOwners));
        }
        SortedMap<Long, UnclaimableShards.Entry> unclaimable = new TreeMap<>();
        for (int remaining = readArrayHeader(unpacker); remaining > 0; remaining--) {
            UnclaimableShards.Entry entry = new UnclaimableShards.Entry(readMember(unpacker),
                    BitSet.valueOf(unpacker.readPayload(unpacker.unpackBinaryHeader())));
            unclaimable.put(entry.formerOwner().token(), entry);
        }
        SortedMap<Long, List<Member>> views = new TreeMap<>();
        for (int remaining = readArrayHeader(unpacker); remaining > 0; remaining--) {
            long viewNumber = unpacker.unpackLong();
            List<Member> members = new ArrayList<>();
            for (int remainingMembers = readArrayHeader(unpacker); remainingMembers > 0; remainingMembers--) {
                members.add(readMember(unpacker));
            }
            views.put(viewNumber, members);
        }
        return new LeaseRegistry.Snapshot(lastToken, view, replicaCount, leases, orphans, unclaimable, views);
    }

    private static void write(MessageBufferPacker packer, Member member) throws IOException {
        packer.packString(member.name()).packLong(member.incarnation()).packString(member.address())
                .packLong(member.token());
    }

    private static Member readMember(MessageUnpacker unpacker) throws IOException {
        return new Member(unpacker.unpackString(), unpacker.unpackLong(), unpacker.unpackString(),
                unpacker.unpackLong());
    }
}
