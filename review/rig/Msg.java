import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** One message of the platform's protocol (PROTOCOL page, "Messages"). */
final class Msg {

    static final int SETUP = 1;
    static final int ANSWER = 9;
    static final int RELEASE = 12;
    static final int RELEASE_HEARD = 16;
    static final int GROUP_STATE = 43;
    static final int TEST = 52;
    static final int TEST_RESULT = 53;

    final int type;
    final long call;
    final Map<Integer, byte[]> parameters = new LinkedHashMap<>();

    Msg(int type, long call) {
        this.type = type;
        this.call = call;
    }

    Msg with(int code, byte[] value) {
        parameters.put(code, value);
        return this;
    }

    Msg with(int code, String text) {
        return with(code, text.getBytes(StandardCharsets.UTF_8));
    }

    Msg cause(int cause) {
        return with(171, new byte[] {(byte) cause});
    }

    int cause() {
        byte[] value = parameters.get(171);
        return value == null ? -1 : value[0] & 0xff;
    }

    String text(int code) {
        byte[] value = parameters.get(code);
        return value == null ? "" : new String(value, StandardCharsets.UTF_8);
    }

    String id() {
        return String.format("%016x", call);
    }

    byte[] bytes() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ByteBuffer.allocate(11).putShort((short) 0).put((byte) type).putLong(call).array());
        parameters.forEach((code, value) -> {
            out.write(code);
            out.write(value.length >> 8);
            out.write(value.length);
            out.writeBytes(value);
        });
        byte[] bytes = out.toByteArray();
        if (bytes.length - 2 > 16 * 1024) {
            throw new IllegalStateException("over 16 KiB");
        }
        ByteBuffer.wrap(bytes).putShort((short) (bytes.length - 2));
        return bytes;
    }

    /** Reads the next message; null at the end of the stream. */
    static Msg read(DataInputStream in) throws IOException {
        int length;
        try {
            length = in.readUnsignedShort();
        } catch (EOFException e) {
            return null;
        }
        byte[] frame = new byte[length];
        in.readFully(frame);
        ByteBuffer buffer = ByteBuffer.wrap(frame);
        Msg message = new Msg(buffer.get() & 0xff, buffer.getLong());
        while (buffer.hasRemaining()) {
            int code = buffer.get() & 0xff;
            byte[] value = new byte[buffer.getShort() & 0xffff];
            buffer.get(value);
            message.parameters.put(code, value);
        }
        return message;
    }
}
