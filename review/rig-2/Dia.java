import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Messages of the Diameter base protocol (RFC 6733) and of credit control (RFC 8506), as far as the cases need them. */
final class Dia {

    static final int CER = 257;
    static final int CCR = 272;
    static final int ASR = 274;
    static final int DWR = 280;
    static final int DPR = 282;
    static final int INITIAL = 1;
    static final int UPDATE = 2;
    static final int TERMINATION = 3;
    static final int SUCCESS = 2001;

    private Dia() {}

    record Avp(int code, byte[] data) {

        static Avp of(int code, String text) {
            return new Avp(code, text.getBytes(StandardCharsets.UTF_8));
        }

        static Avp of(int code, int number) {
            return new Avp(code, ByteBuffer.allocate(4).putInt(number).array());
        }

        String text() {
            return new String(data, StandardCharsets.UTF_8);
        }

        int number() {
            return ByteBuffer.wrap(data).getInt();
        }
    }

    record Msg(int flags, int command, int application, int hop, int end, List<Avp> avps) {

        boolean isRequest() {
            return (flags & 0x80) != 0;
        }

        Avp find(int code) {
            return avps.stream().filter(avp -> avp.code == code).findFirst().orElse(null);
        }

        String session() {
            Avp avp = find(263);
            return avp == null ? "" : avp.text();
        }

        int result() {
            Avp avp = find(268);
            return avp == null ? 0 : avp.number();
        }

        int type() {
            Avp avp = find(416);
            return avp == null ? 0 : avp.number();
        }

        /** An answer that repeats the session and, for credit control, the type and number of the request. */
        Msg answer(int result, String host, String realm, List<Avp> more) {
            List<Avp> all = new ArrayList<>();
            if (find(263) != null) {
                all.add(find(263));
            }
            all.addAll(List.of(Avp.of(268, result), Avp.of(264, host), Avp.of(296, realm)));
            if (command == CCR) {
                all.addAll(List.of(Avp.of(258, 4), find(416), find(415)));
            }
            all.addAll(more);
            return new Msg(flags & 0x40, command, application, hop, end, all);
        }

        byte[] bytes() {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.writeBytes(new byte[20]);
            for (Avp avp : avps) {
                int length = 8 + avp.data.length;
                ByteBuffer buffer = ByteBuffer.allocate(length + (4 - length % 4) % 4);
                buffer.putInt(avp.code).putInt(0x40 << 24 | length).put(avp.data);
                out.writeBytes(buffer.array());
            }
            byte[] bytes = out.toByteArray();
            ByteBuffer.wrap(bytes).putInt(1 << 24 | bytes.length).putInt(flags << 24 | command).putInt(application)
                    .putInt(hop).putInt(end);
            return bytes;
        }
    }

    static Msg read(DataInputStream in) throws IOException {
        int first = in.readInt();
        byte[] rest = new byte[(first & 0xffffff) - 4];
        in.readFully(rest);
        ByteBuffer buffer = ByteBuffer.wrap(rest);
        int flagsAndCommand = buffer.getInt();
        int application = buffer.getInt();
        int hop = buffer.getInt();
        int end = buffer.getInt();
        List<Avp> avps = new ArrayList<>();
        while (buffer.remaining() >= 8) {
            int code = buffer.getInt();
            int flagsAndLength = buffer.getInt();
            int length = (flagsAndLength & 0xffffff) - 8;
            if ((flagsAndLength >>> 24 & 0x80) != 0) {
                buffer.getInt();
                length -= 4;
            }
            byte[] data = new byte[length];
            buffer.get(data);
            avps.add(new Avp(code, data));
            buffer.position(Math.min(buffer.limit(), buffer.position() + (4 - length % 4) % 4));
        }
        return new Msg(flagsAndCommand >>> 24, flagsAndCommand & 0xffffff, application, hop, end, avps);
    }

    static void write(Socket socket, Msg message) throws IOException {
        OutputStream out = socket.getOutputStream();
        synchronized (socket) {
            out.write(message.bytes());
            out.flush();
        }
    }

    /** What a node says of itself in the capabilities exchange. */
    static List<Avp> capabilities(int originState) {
        return List.of(new Avp(257, new byte[] {0, 1, 127, 0, 0, 1}), Avp.of(266, 0), Avp.of(269, "stand-in"),
                Avp.of(278, originState), Avp.of(258, 4));
    }
}
