package pathlane.discovery;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import pathlane.wire.ProtocolException;

/** Encodes and decodes the fields shared by several watch messages, and checks their limits. */
final class WatchFields {

    /** Limits memory use; longer lists than any deployment has are rejected. */
    private static final int MAX_ITEMS = 1 << 20;
    /** The same limit as in the handshake of a connection. */
    private static final int MAX_SUBSCRIBER_NAME_BYTES = 255;

    private WatchFields() {}

    /** Writes one item of a list. */
    interface ItemWriter<T> {
        void write(MessagePacker packer, T item) throws IOException;
    }

    /** Reads one item of a list. */
    interface ItemReader<T> {
        T read(MessageUnpacker unpacker) throws IOException;
    }

    static <T> void writeList(MessagePacker packer, List<T> items, ItemWriter<T> writer) throws IOException {
        packer.packArrayHeader(items.size());
        for (T item : items) {
            writer.write(packer, item);
        }
    }

    static <T> List<T> list(MessageUnpacker unpacker, ItemReader<T> reader) throws IOException {
        return list(unpacker, MAX_ITEMS, reader);
    }

    /**
     * Reads a list of at most {@code maxItems} items. It grows as items are read, so that a large announced length alone
     * allocates no memory.
     */
    static <T> List<T> list(MessageUnpacker unpacker, int maxItems, ItemReader<T> reader) throws IOException {
        int size = unpacker.unpackArrayHeader();
        if (size > maxItems) {
            throw new ProtocolException(size + " items");
        }
        List<T> items = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            items.add(reader.read(unpacker));
        }
        return Collections.unmodifiableList(items);
    }

    static void write(MessagePacker packer, Revision revision) throws IOException {
        packer.packLong(revision.epoch()).packLong(revision.number());
    }

    static Revision revision(MessageUnpacker unpacker) throws IOException {
        return new Revision(count(unpacker), count(unpacker));
    }

    /** Reads a non-negative number. */
    static long count(MessageUnpacker unpacker) throws IOException {
        return count(unpacker, Long.MAX_VALUE);
    }

    /** Reads a number from 0 to a maximum. */
    static long count(MessageUnpacker unpacker, long max) throws IOException {
        long count = unpacker.unpackLong();
        if (count < 0 || count > max) {
            throw new ProtocolException("number out of range: " + count);
        }
        return count;
    }

    static String service(MessageUnpacker unpacker) throws IOException {
        return text(unpacker, CatalogueLimits.MAX_NAME_BYTES);
    }

    /** Reads a subscriber's name. */
    static String name(MessageUnpacker unpacker) throws IOException {
        return text(unpacker, MAX_SUBSCRIBER_NAME_BYTES);
    }

    private static String text(MessageUnpacker unpacker, int maxBytes) throws IOException {
        String text = unpacker.unpackString();
        int length = text.getBytes(StandardCharsets.UTF_8).length;
        if (length == 0 || length > maxBytes) {
            throw new ProtocolException("invalid name of " + length + " bytes");
        }
        return text;
    }
}
