package pathlane.wire;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Splits a byte stream into length-prefixed frames. Input may arrive in chunks of any size, with partial frames or several
 * frames in one chunk. A frame with a length out of range is rejected as soon as its length is known, before it is buffered.
 */
public final class FrameAssembler {

    private static final int INITIAL_BUFFER_BYTES = 512;

    private final int lengthBytes;
    private final int minLength;
    private final int maxLength;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int size;

    /**
     * Creates an assembler without input.
     *
     * @param lengthBytes the width of the length field, which is big-endian and does not count itself
     * @param minLength the smallest valid value of the length field
     * @param maxLength the largest valid value of the length field
     */
    public FrameAssembler(int lengthBytes, int minLength, int maxLength) {
        this.lengthBytes = lengthBytes;
        this.minLength = minLength;
        this.maxLength = maxLength;
    }

    /** Whether part of a frame has been received and the rest has not. */
    public boolean hasPartialFrame() {
        return size > 0;
    }

    /**
     * Consumes all bytes and passes on each completed frame, without its length field, before the bytes after it are parsed.
     *
     * @return the number of frames completed
     * @throws ProtocolException if a frame's length is out of range
     */
    public int feed(ByteBuffer bytes, Consumer<ByteBuffer> frames) {
        int completed = 0;
        while (bytes.hasRemaining()) {
            int needed = size < lengthBytes ? lengthBytes : lengthBytes + length();
            int taken = Math.min(needed - size, bytes.remaining());
            if (size + taken > buffer.length) {
                buffer = Arrays.copyOf(buffer, Math.max(size + taken, Math.min(needed, 2 * buffer.length)));
            }
            bytes.get(buffer, size, taken);
            size += taken;
            if (size >= lengthBytes && size == lengthBytes + length()) {
                int end = size;
                size = 0;
                byte[] frame = Arrays.copyOfRange(buffer, lengthBytes, end);
                buffer = buffer.length > maxLength / 2 ? new byte[INITIAL_BUFFER_BYTES] : buffer;
                completed++;
                frames.accept(ByteBuffer.wrap(frame));
            }
        }
        return completed;
    }

    private int length() {
        long length = 0;
        for (int i = 0; i < lengthBytes; i++) {
            length = length << 8 | buffer[i] & 0xff;
        }
        if (length < minLength || length > maxLength) {
            throw new ProtocolException("frame length of " + length + " bytes is out of range");
        }
        return (int) length;
    }
}
