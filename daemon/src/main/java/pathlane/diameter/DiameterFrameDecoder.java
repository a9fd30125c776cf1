package pathlane.diameter;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;

/** Splits a byte stream into Diameter messages by the length in their headers. */
final class DiameterFrameDecoder {

    private static final int MAX_MESSAGE_BYTES = 64 * 1024;
    private static final int WORD_BYTES = 4;
    private static final int INITIAL_BUFFER_BYTES = 512;
    private static final int LENGTH_MASK = 0xffffff;

    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int size;

    /** Whether part of a message has been received. */
    boolean hasPartialMessage() {
        return size > 0;
    }

    /** Passes on each complete message and returns their number; an invalid length makes the rest unreadable. */
    int decode(ByteBuffer bytes, Consumer<ByteBuffer> messages) {
        int completed = 0;
        while (bytes.hasRemaining()) {
            int needed = size < WORD_BYTES ? WORD_BYTES : messageLength();
            int copied = Math.min(needed - size, bytes.remaining());
            if (size + copied > buffer.length) {
                buffer = Arrays.copyOf(buffer, Math.max(size + copied, 2 * buffer.length));
            }
            bytes.get(buffer, size, copied);
            size += copied;
            if (size > WORD_BYTES && size == messageLength()) {
                byte[] message = Arrays.copyOf(buffer, size);
                size = 0;
                completed++;
                messages.accept(ByteBuffer.wrap(message));
            } else if (size == WORD_BYTES) {
                messageLength();   // rejects an invalid header before buffering any more
            }
        }
        return completed;
    }

    private int messageLength() {
        int firstWord = ByteBuffer.wrap(buffer).getInt();
        int length = firstWord & LENGTH_MASK;
        if (firstWord >>> Integer.SIZE - Byte.SIZE != 1) {
            throw new DiameterException(ResultCode.UNSUPPORTED_VERSION, null,
                    "version " + (firstWord >>> Integer.SIZE - Byte.SIZE));
        }
        if (length < DiameterMessage.HEADER_BYTES || length % WORD_BYTES != 0 || length > MAX_MESSAGE_BYTES) {
            throw new DiameterException(ResultCode.INVALID_MESSAGE_LENGTH, null, "a message of " + length + " bytes");
        }
        return length;
    }
}
