package pathlane.wire;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Cuts a stream of bytes into frames that begin with their length, whatever the pieces it comes in: frames in
 * parts, several at once, and too long ones, which are refused before they are gathered.
 */
public final class FrameAssembler {

    private static final int FIRST_SIZE = 512;

    private final int lengthBytes;
    private final int shortest;
    private final int longest;
    private byte[] gathered = new byte[FIRST_SIZE];
    private int size;

    /** Lengths are big-endian, {@code lengthBytes} wide, and count what follows them. */
    public FrameAssembler(int lengthBytes, int shortest, int longest) {
        this.lengthBytes = lengthBytes;
        this.shortest = shortest;
        this.longest = longest;
    }

    /** Whether a frame has begun and not ended. */
    public boolean begun() {
        return size > 0;
    }

    /** Takes bytes; hands on each whole frame, without its length, before the next is looked at. Returns how many. */
    public int feed(ByteBuffer bytes, Consumer<ByteBuffer> frames) {
        int ended = 0;
        while (bytes.hasRemaining()) {
            int wanted = size < lengthBytes ? lengthBytes : lengthBytes + length();
            int taken = Math.min(wanted - size, bytes.remaining());
            if (size + taken > gathered.length) {
                gathered = Arrays.copyOf(gathered, Math.max(size + taken, Math.min(wanted, 2 * gathered.length)));
            }
            bytes.get(gathered, size, taken);
            size += taken;
            if (size >= lengthBytes && size == lengthBytes + length()) {
                int end = size;
                size = 0;
                byte[] frame = Arrays.copyOfRange(gathered, lengthBytes, end);
                gathered = gathered.length > longest / 2 ? new byte[FIRST_SIZE] : gathered;
                ended++;
                frames.accept(ByteBuffer.wrap(frame));
            }
        }
        return ended;
    }

    private int length() {
        long length = 0;
        for (int i = 0; i < lengthBytes; i++) {
            length = length << 8 | gathered[i] & 0xff;
        }
        if (length < shortest || length > longest) {
            throw new BadInput("a frame of " + length + " bytes");
        }
        return (int) length;
    }
}
