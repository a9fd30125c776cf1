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
import pathlane.wire.BadInput;

/** Encodes the registry's commands, replies and snapshots as MessagePack: a kind, then the fields in a fixed order. */
public final class RegistryCodec {

    private static final int JOIN = 1;
    private static final int RENEW = 2;
    private static final int LEAVE = 3;
    private static final int EXPIRE = 4;
    private static final int COVER = 5;
    private static final int CLAIM = 6;
    private static final int SETTLE = 7;
    private static final int RECLAIM = 8;

    private static final int GRANTED = 1;
    private static final int ENDED = 2;
    private static final int HELD = 3;
    private static final int DONE = 4;
    private static final int REFUSED = 5;

    /** Bounds the memory that a malformed array length can make a reader allocate; no group reaches it. */
    private static final int MOST_ITEMS = 1 << 20;

    private RegistryCodec() {}

    /** Encodes a command. */
    public static byte[] bytes(Command command) {
        return packed(packer -> write(packer, command));
    }

    /** @throws BadInput if the bytes are not a command */
    public static Command command(byte[] bytes) {
        return read(bytes, RegistryCodec::command);
    }

    /** Encodes a reply. */
    public static byte[] bytes(Reply reply) {
        return packed(packer -> write(packer, reply));
    }

    /** @throws BadInput if the bytes are not a reply */
    public static Reply reply(byte[] bytes) {
        return read(bytes, RegistryCodec::reply);
    }

    /** Encodes a snapshot of the registry. */
    public static byte[] bytes(LeaseRegistry register) {
        return packed(packer -> write(packer, register.snapshot()));
    }

    /** @throws BadInput if the bytes are not a snapshot */
    public static LeaseRegistry register(byte[] bytes) {
        return read(bytes, unpacker -> LeaseRegistry.restore(whole(unpacker)));
    }

    interface Writer {
        void write(MessageBufferPacker packer) throws IOException;
    }

    interface Reader<T> {
        T read(MessageUnpacker unpacker) throws IOException;
    }

    static byte[] packed(Writer writer) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            writer.write(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);   // can't happen: an in-memory buffer does no I/O
        }
    }

    static <T> T read(byte[] bytes, Reader<T> reader) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return reader.read(unpacker);
        } catch (IOException | MessagePackException e) {
            throw new BadInput("not a valid registry message: " + e.getMessage());
        }
    }

    static int items(MessageUnpacker unpacker) throws IOException {
        int items = unpacker.unpackArrayHeader();
        if (items > MOST_ITEMS) {
            throw new BadInput(items + " items exceed the limit of 1048576");
        }
        return items;
    }

    private static void write(MessageBufferPacker packer, Command command) throws IOException {
        if (command instanceof Command.Join join) {
            packer.packInt(JOIN).packString(join.name()).packLong(join.incarnation()).packString(join.address())
                    .packLong(join.previousToken()).packInt(join.replicaCount()).packBoolean(join.areReplicasDropped());
        } else if (command instanceof Command.Renew renew) {
            packer.packInt(RENEW).packArrayHeader(renew.renewals().size());
            for (Command.Renewal renewal : renew.renewals()) {
                packer.packLong(renewal.token()).packLong(renewal.number());
            }
        } else if (command instanceof Command.Leave leave) {
            packer.packInt(LEAVE).packLong(leave.token());
        } else if (command instanceof Command.Expire expire) {
            packer.packInt(EXPIRE).packLong(expire.token()).packLong(expire.number());
        } else if (command instanceof Command.Replicated replicated) {
            packer.packInt(COVER).packLong(replicated.token()).packLong(replicated.view());
        } else if (command instanceof Command.Claim claim) {
            packer.packInt(CLAIM).packLong(claim.claimer()).packLong(claim.orphan());
            writeSlots(packer, claim.shards());
        } else if (command instanceof Command.Reclaim reclaim) {
            packer.packInt(RECLAIM).packLong(reclaim.token()).packLong(reclaim.former());
            writeSlots(packer, reclaim.shards());
        } else {
            Command.Complete settle = (Command.Complete) command;
            packer.packInt(SETTLE).packLong(settle.claimer()).packLong(settle.orphan());
            writeSlots(packer, settle.shards());
        }
    }

    private static Command command(MessageUnpacker unpacker) throws IOException {
        int kind = unpacker.unpackInt();
        switch (kind) {
            case JOIN -> {
                return new Command.Join(unpacker.unpackString(), unpacker.unpackLong(), unpacker.unpackString(),
                        unpacker.unpackLong(), unpacker.unpackInt(), unpacker.unpackBoolean());
            }
            case RENEW -> {
                int items = items(unpacker);
                List<Command.Renewal> renewals = new ArrayList<>();
                for (int i = 0; i < items; i++) {
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
            case COVER -> {
                return new Command.Replicated(unpacker.unpackLong(), unpacker.unpackLong());
            }
            case CLAIM -> {
                return new Command.Claim(unpacker.unpackLong(), unpacker.unpackLong(), shards(unpacker));
            }
            case RECLAIM -> {
                return new Command.Reclaim(unpacker.unpackLong(), unpacker.unpackLong(), shards(unpacker));
            }
            case SETTLE -> {
                return new Command.Complete(unpacker.unpackLong(), unpacker.unpackLong(), shards(unpacker));
            }
            default -> throw new BadInput("unknown command kind " + kind);
        }
    }

    private static void writeSlots(MessageBufferPacker packer, List<Integer> shards) throws IOException {
        packer.packArrayHeader(shards.size());
        for (int shard : shards) {
            packer.packInt(shard);
        }
    }

    private static List<Integer> shards(MessageUnpacker unpacker) throws IOException {
        int items = items(unpacker);
        List<Integer> shards = new ArrayList<>();
        for (int i = 0; i < items; i++) {
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
        } else if (reply instanceof Reply.Owned held) {
            packer.packInt(HELD);
            writeSlots(packer, held.shards());
        } else if (reply instanceof Reply.Refused refused) {
            packer.packInt(REFUSED).packString(refused.why());
        } else {
            packer.packInt(DONE);
        }
    }

    private static Reply reply(MessageUnpacker unpacker) throws IOException {
        int kind = unpacker.unpackInt();
        switch (kind) {
            case GRANTED -> {
                return new Reply.Granted(unpacker.unpackLong());
            }
            case ENDED -> {
                return new Reply.Ended(tokens(unpacker));
            }
            case HELD -> {
                return new Reply.Owned(shards(unpacker));
            }
            case DONE -> {
                return Reply.DONE;
            }
            case REFUSED -> {
                return new Reply.Refused(unpacker.unpackString());
            }
            default -> throw new BadInput("unknown reply kind " + kind);
        }
    }

    private static List<Long> tokens(MessageUnpacker unpacker) throws IOException {
        List<Long> tokens = new ArrayList<>();
        for (int left = items(unpacker); left > 0; left--) {
            tokens.add(unpacker.unpackLong());
        }
        return tokens;
    }

    private static void write(MessageBufferPacker packer, LeaseRegistry.Snapshot whole) throws IOException {
        packer.packLong(whole.lastToken()).packLong(whole.view()).packInt(whole.replicaCount());
        packer.packArrayHeader(whole.leases().size());
        for (LeaseRegistry.Lease lease : whole.leases().values()) {
            write(packer, lease.member);
            packer.packLong(lease.renewals).packLong(lease.replicatedView);
        }
        packer.packArrayHeader(whole.orphans().size());
        for (OrphanedShards orphan : whole.orphans().values()) {
            write(packer, orphan.former());
            packer.packLong(orphan.view()).packArrayHeader(orphan.owners().size());
            for (var shard : orphan.owners().entrySet()) {
                packer.packInt(shard.getKey()).packLong(shard.getValue());
                List<Long> past = orphan.previousOwners(shard.getKey());
                packer.packArrayHeader(past.size());
                for (long token : past) {
                    packer.packLong(token);
                }
            }
        }
        packer.packArrayHeader(whole.unclaimable().size());
        for (UnclaimableShards.Entry entry : whole.unclaimable().values()) {
            write(packer, entry.former());
            byte[] shards = entry.shards().toByteArray();
            packer.packBinaryHeader(shards.length);
            packer.writePayload(shards);
        }
        packer.packArrayHeader(whole.views().size());
        for (var view : whole.views().entrySet()) {
            packer.packLong(view.getKey()).packArrayHeader(view.getValue().size());
            for (Member member : view.getValue()) {
                write(packer, member);
            }
        }
    }

    private static LeaseRegistry.Snapshot whole(MessageUnpacker unpacker) throws IOException {
        long lastToken = unpacker.unpackLong();
        long view = unpacker.unpackLong();
        int copies = unpacker.unpackInt();
        SortedMap<Long, LeaseRegistry.Lease> leases = new TreeMap<>();
        for (int left = items(unpacker); left > 0; left--) {
            LeaseRegistry.Lease lease = new LeaseRegistry.Lease(member(unpacker));
            lease.renewals = unpacker.unpackLong();
            lease.replicatedView = unpacker.unpackLong();
            leases.put(lease.member.token(), lease);
        }
        SortedMap<Long, OrphanedShards> orphans = new TreeMap<>();
        for (int left = items(unpacker); left > 0; left--) {
            Member former = member(unpacker);
            long placed = unpacker.unpackLong();
            SortedMap<Integer, Long> holders = new TreeMap<>();
            SortedMap<Integer, List<Long>> past = new TreeMap<>();
            for (int shards = items(unpacker); shards > 0; shards--) {
                int shard = unpacker.unpackInt();
                holders.put(shard, unpacker.unpackLong());
                past.put(shard, tokens(unpacker));
            }
            orphans.put(former.token(), OrphanedShards.restore(former, placed, holders, past));
        }
        SortedMap<Long, UnclaimableShards.Entry> abandoned = new TreeMap<>();
        for (int left = items(unpacker); left > 0; left--) {
            UnclaimableShards.Entry one = new UnclaimableShards.Entry(member(unpacker),
                    BitSet.valueOf(unpacker.readPayload(unpacker.unpackBinaryHeader())));
            abandoned.put(one.former().token(), one);
        }
        SortedMap<Long, List<Member>> views = new TreeMap<>();
        for (int left = items(unpacker); left > 0; left--) {
            long number = unpacker.unpackLong();
            List<Member> members = new ArrayList<>();
            for (int items = items(unpacker); items > 0; items--) {
                members.add(member(unpacker));
            }
            views.put(number, members);
        }
        return new LeaseRegistry.Snapshot(lastToken, view, copies, leases, orphans, abandoned, views);
    }

    private static void write(MessageBufferPacker packer, Member member) throws IOException {
        packer.packString(member.name()).packLong(member.incarnation()).packString(member.address())
                .packLong(member.token());
    }

    private static Member member(MessageUnpacker unpacker) throws IOException {
        return new Member(unpacker.unpackString(), unpacker.unpackLong(), unpacker.unpackString(),
                unpacker.unpackLong());
    }
}
