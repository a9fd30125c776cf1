package pathlane.discovery;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.DateTimeException;
import java.time.Duration;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import pathlane.discovery.WatchMessage.Accepted;
import pathlane.discovery.WatchMessage.Acknowledge;
import pathlane.discovery.WatchMessage.Bookmark;
import pathlane.discovery.WatchMessage.Interest;
import pathlane.discovery.WatchMessage.Progress;
import pathlane.discovery.WatchMessage.Refused;
import pathlane.discovery.WatchMessage.Status;
import pathlane.discovery.WatchMessage.Subscribe;
import pathlane.discovery.WatchMessage.Update;
import pathlane.wire.ProtocolException;

/**
 * Encodes and decodes the watch's messages as MessagePack: a message's kind, then its fields in the order of its record;
 * lists are preceded by their length. A {@link ServiceChange} is encoded separately from its update, so that it is encoded
 * once for all subscribers.
 */
public final class WatchCodec {

    private static final int SUBSCRIBE = 1;
    private static final int ACKNOWLEDGE = 2;
    private static final int PROGRESS = 3;
    private static final int ACCEPTED = 4;
    private static final int REFUSED = 5;
    private static final int UPDATE = 6;
    private static final int BOOKMARK = 7;
    private static final int STATUS = 8;

    /** Prevents overflow in sums of durations. */
    private static final Duration MAX_DURATION = Duration.ofDays(3_650);

    private WatchCodec() {}

    /** Encodes a message. */
    public static byte[] bytes(WatchMessage message) {
        return packed(packer -> write(packer, message));
    }

    /** Encodes a single change, for {@link #update}. */
    public static byte[] bytes(ServiceChange change) {
        return packed(packer -> ServiceChangeCodec.write(packer, change));
    }

    /** Encodes an {@link Update} of changes already encoded. */
    public static byte[] update(long batch, List<byte[]> changes) {
        return packed(packer -> {
            packer.packInt(UPDATE).packLong(batch).packArrayHeader(changes.size());
            for (byte[] change : changes) {
                packer.addPayload(change);
            }
        });
    }

    /**
     * Decodes a message.
     *
     * @throws ProtocolException if it is malformed or followed by more bytes
     */
    public static WatchMessage message(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            WatchMessage message = read(unpacker);
            if (unpacker.hasNext()) {
                throw new ProtocolException("trailing bytes after a watch message");
            }
            return message;
        } catch (IOException | MessagePackException | DateTimeException | ArithmeticException e) {
            throw new ProtocolException("malformed watch message: " + e.getMessage());
        }
    }

    private interface Writer {
        void write(MessagePacker packer) throws IOException;
    }

    private static byte[] packed(Writer writer) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            writer.write(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);   // can't happen: the buffer is in memory
        }
    }

    private static void write(MessagePacker packer, WatchMessage message) throws IOException {
        if (message instanceof Subscribe subscribe) {
            packer.packInt(SUBSCRIBE);
            write(packer, subscribe);
        } else if (message instanceof Acknowledge acknowledge) {
            packer.packInt(ACKNOWLEDGE).packLong(acknowledge.batch());
            WatchFields.write(packer, acknowledge.inForce());
        } else if (message instanceof Progress progress) {
            packer.packInt(PROGRESS);
            write(packer, progress.report());
        } else if (message instanceof Accepted accepted) {
            packer.packInt(ACCEPTED);
            write(packer, accepted.status());
        } else if (message instanceof Refused refused) {
            packer.packInt(REFUSED).packLong(refused.retryAfter().toMillis());
        } else if (message instanceof Update update) {
            packer.packInt(UPDATE).packLong(update.batch());
            WatchFields.writeList(packer, update.changes(), ServiceChangeCodec::write);
        } else if (message instanceof Bookmark bookmark) {
            packer.packInt(BOOKMARK);
            WatchFields.write(packer, bookmark.revision());
        } else {
            packer.packInt(STATUS);
            write(packer, ((Status) message).status());
        }
    }

    private static WatchMessage read(MessageUnpacker unpacker) throws IOException {
        int kind = unpacker.unpackInt();
        return switch (kind) {
            case SUBSCRIBE -> subscribe(unpacker);
            case ACKNOWLEDGE -> new Acknowledge(WatchFields.count(unpacker), WatchFields.revision(unpacker));
            case PROGRESS -> new Progress(report(unpacker));
            case ACCEPTED -> new Accepted(status(unpacker));
            case REFUSED -> new Refused(duration(unpacker));
            case UPDATE -> new Update(WatchFields.count(unpacker),
                    WatchFields.list(unpacker, ServiceChangeCodec::read));
            case BOOKMARK -> new Bookmark(WatchFields.revision(unpacker));
            case STATUS -> new Status(status(unpacker));
            default -> throw new ProtocolException("unknown kind of message: " + kind);
        };
    }

    private static void write(MessagePacker packer, Subscribe subscribe) throws IOException {
        packer.packBoolean(subscribe.everything()).packBoolean(subscribe.last());
        WatchFields.writeList(packer, subscribe.interests(), WatchCodec::writeInterest);
        WatchFields.writeList(packer, subscribe.ended(), MessagePacker::packString);
    }

    private static Subscribe subscribe(MessageUnpacker unpacker) throws IOException {
        return new Subscribe(unpacker.unpackBoolean(), unpacker.unpackBoolean(),
                WatchFields.list(unpacker, WatchCodec::interest), WatchFields.list(unpacker, WatchFields::service));
    }

    private static void writeInterest(MessagePacker packer, Interest interest) throws IOException {
        packer.packString(interest.service());
        WatchFields.write(packer, interest.heldRevision());
        packer.packLong(interest.digest());
    }

    private static Interest interest(MessageUnpacker unpacker) throws IOException {
        return new Interest(WatchFields.service(unpacker), WatchFields.revision(unpacker), unpacker.unpackLong());
    }

    private static void write(MessagePacker packer, PublisherStatus status) throws IOException {
        packer.packBoolean(status.complete());
        WatchFields.write(packer, status.revision());
        packer.packLong(status.staleFor().toMillis());
    }

    private static PublisherStatus status(MessageUnpacker unpacker) throws IOException {
        return new PublisherStatus(unpacker.unpackBoolean(), WatchFields.revision(unpacker), duration(unpacker));
    }

    private static Duration duration(MessageUnpacker unpacker) throws IOException {
        return Duration.ofMillis(WatchFields.count(unpacker, MAX_DURATION.toMillis()));
    }

    private static void write(MessagePacker packer, ProgressReport report) throws IOException {
        WatchFields.writeList(packer, report.levels(), (to, level) -> {
            WatchFields.write(to, level.inForce());
            to.packLong(level.controllers());
        });
        WatchFields.writeList(packer, report.slowest(), (to, slow) -> {
            to.packString(slow.name());
            WatchFields.write(to, slow.inForce());
        });
    }

    private static ProgressReport report(MessageUnpacker unpacker) throws IOException {
        List<ProgressReport.Level> levels = WatchFields.list(unpacker, ProgressReport.MAX_LEVELS,
                from -> new ProgressReport.Level(WatchFields.revision(from), WatchFields.count(from, Integer.MAX_VALUE)));
        List<ProgressReport.SlowController> slowest = WatchFields.list(unpacker, ProgressReport.MAX_SLOWEST,
                from -> new ProgressReport.SlowController(WatchFields.name(from), WatchFields.revision(from)));
        return new ProgressReport(levels, slowest);
    }
}
