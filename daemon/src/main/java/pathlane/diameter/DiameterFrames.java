package pathlane.diameter;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;

/** Cuts a stream of bytes into Diameter messages by the length in their heads. */
final class DiameterFrames {

    private static final int LONGEST = 64 * 1024;
    private static final int WORD = 4;
    private static final int FIRST_SIZE = 512;
    private static final int THREE_BYTES = 0xffffff;

    private byte[] gathered = new byte[FIRST_SIZE];
    private int size;

    /** Whether a message has begun and not ended. */
    boolean begun() {
        return size > 0;
    }

    /** Hands on each whole message; a length that can't be is a fault after which the stream is lost. Returns how many. */
    int feed(ByteBuffer bytes, Consumer<ByteBuffer> messages) {
        int ended = 0;
        while (bytes.hasRemaining()) {
            int wanted = size < WORD ? WORD : length();
            int taken = Math.min(wanted - size, bytes.remaining());
            if (size + taken > gathered.length) {
                gathered = Arrays.copyOf(gathered, Math.max(size + taken, 2 * gathered.length));
            }
            bytes.get(gathered, size, taken);
            size += taken;
            if (size > WORD && size == length()) {
                byte[] message = Arrays.copyOf(gathered, size);
                size = 0;
                ended++;
                messages.accept(ByteBuffer.wrap(message));
            } else if (size == WORD) {
                length();   // refused before any more is gathered
            }
        }
        return ended;
    }

    private int length() {
        int first = ByteBuffer.wrap(gathered).getInt();
        int length = first & THREE_BYTES;
        if (first >>> Integer.SIZE - Byte.SIZE != 1) {
            throw new Fault(ResultCode.UNSUPPORTED_VERSION, null, "version " + (first >>> Integer.SIZE - Byte.SIZE));
        }
        if (length < DiameterMessage.HEAD || length % WORD != 0 || length > LONGEST) {
            throw new Fault(ResultCode.INVALID_MESSAGE_LENGTH, null, "a message of " + length + " bytes");
        }
        return length;
    }
}
