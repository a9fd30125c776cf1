import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** The messages of the platform's protocol. */
final class Plat {

    static final int SETUP = 1;
    static final int ANSWER = 9;
    static final int RELEASE = 12;
    static final int HEARD = 16;
    static final int STATE = 43;
    static final int TEST = 52;
    static final int TEST_RESULT = 53;

    private Plat() {}

    record Msg(int type, long call, Map<Integer, byte[]> parameters) {

        static Msg of(int type, long call) {
            return new Msg(type, call, new LinkedHashMap<>());
        }

        Msg with(int code, byte[] value) {
            parameters.put(code, value);
            return this;
        }

        Msg with(int code, String value) {
            return with(code, value.getBytes(StandardCharsets.UTF_8));
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
            out.writeBytes(new byte[2]);
            out.write(type);
            out.writeBytes(ByteBuffer.allocate(8).putLong(call).array());
            parameters.forEach((code, value) -> {
                out.write(code);
                out.write(value.length >> 8);
                out.write(value.length);
                out.writeBytes(value);
            });
            byte[] bytes = out.toByteArray();
            ByteBuffer.wrap(bytes).putShort((short) (bytes.length - 2));
            return bytes;
        }
    }

    static Msg read(DataInputStream in) throws IOException {
        byte[] frame = new byte[in.readUnsignedShort()];
        in.readFully(frame);
        ByteBuffer buffer = ByteBuffer.wrap(frame);
        Msg message = Msg.of(buffer.get() & 0xff, buffer.getLong());
        while (buffer.hasRemaining()) {
            int code = buffer.get() & 0xff;
            byte[] value = new byte[buffer.getShort() & 0xffff];
            buffer.get(value);
            message.parameters.put(code, value);
        }
        return message;
    }

    static void write(Socket socket, Msg message) throws IOException {
        synchronized (socket) {
            socket.getOutputStream().write(message.bytes());
        }
    }
}
