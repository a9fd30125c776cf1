package pathlane.discovery;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import pathlane.wire.BadInput;

/** The fields that several of the watch's messages share, each with its limits. */
final class WatchFields {

    /** Guards memory against lengths that no fleet has. */
    private static final int MAX_ITEMS = 1 << 20;
    /** As in the opening of a connection. */
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

    /** The list grows as its items are read: a length alone takes no memory. */
    static <T> List<T> list(MessageUnpacker unpacker, int maxItems, ItemReader<T> reader) throws IOException {
        int size = unpacker.unpackArrayHeader();
        if (size > maxItems) {
            throw new BadInput(size + " items");
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

    /** A number that is not negative. */
    static long count(MessageUnpacker unpacker) throws IOException {
        return count(unpacker, Long.MAX_VALUE);
    }

    /** A number from 0 to a bound. */
    static long count(MessageUnpacker unpacker, long max) throws IOException {
        long count = unpacker.unpackLong();
        if (count < 0 || count > max) {
            throw new BadInput("the number " + count);
        }
        return count;
    }

    static String service(MessageUnpacker unpacker) throws IOException {
        return text(unpacker, CatalogueLimits.LONGEST_NAME);
    }

    /** A subscriber's name. */
    static String name(MessageUnpacker unpacker) throws IOException {
        return text(unpacker, MAX_SUBSCRIBER_NAME_BYTES);
    }

    private static String text(MessageUnpacker unpacker, int maxBytes) throws IOException {
        String text = unpacker.unpackString();
        int length = text.getBytes(StandardCharsets.UTF_8).length;
        if (length == 0 || length > maxBytes) {
            throw new BadInput("a name of " + length + " bytes");
        }
        return text;
    }
}
