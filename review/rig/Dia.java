import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One Diameter message (RFC 6733, section 3), with the AVPs that the cases need. */
final class Dia {

    static final int CAPABILITIES = 257;
    static final int CREDIT_CONTROL = 272;
    static final int ABORT_SESSION = 274;
    static final int WATCHDOG = 280;
    static final int DISCONNECT = 282;

    static final int APPLICATION = 4;

    static final int HOST_IP = 257;
    static final int AUTH_APPLICATION = 258;
    static final int SESSION = 263;
    static final int ORIGIN_HOST = 264;
    static final int VENDOR = 266;
    static final int RESULT = 268;
    static final int PRODUCT = 269;
    static final int DESTINATION_REALM = 283;
    static final int ORIGIN_REALM = 296;
    static final int NUMBER = 415;
    static final int TYPE = 416;
    static final int CONTEXT = 461;

    /** One AVP without a vendor. */
    record Avp(int code, byte[] data) {}

    final int flags;
    final int command;
    final int application;
    final int hopByHop;
    final int endToEnd;
    final List<Avp> avps = new ArrayList<>();

    Dia(int flags, int command, int application, int hopByHop, int endToEnd) {
        this.flags = flags;
        this.command = command;
        this.application = application;
        this.hopByHop = hopByHop;
        this.endToEnd = endToEnd;
    }

    boolean isRequest() {
        return (flags & 0x80) != 0;
    }

    boolean isRetransmitted() {
        return (flags & 0x10) != 0;
    }

    Dia with(int code, String text) {
        avps.add(new Avp(code, text.getBytes(StandardCharsets.UTF_8)));
        return this;
    }

    Dia with(int code, int number) {
        avps.add(new Avp(code, ByteBuffer.allocate(4).putInt(number).array()));
        return this;
    }

    String text(int code) {
        return avps.stream().filter(avp -> avp.code == code).findFirst()
                .map(avp -> new String(avp.data, StandardCharsets.UTF_8)).orElse("");
    }

    int number(int code) {
        return avps.stream().filter(avp -> avp.code == code).findFirst().map(avp -> ByteBuffer.wrap(avp.data).getInt())
                .orElse(-1);
    }

    /** An answer to this request with a result code. */
    Dia answer(int result, String host) {
        Dia answer = new Dia(flags & 0x40, command, application, hopByHop, endToEnd);
        if (!text(SESSION).isEmpty()) {
            answer.with(SESSION, text(SESSION));
        }
        answer.with(RESULT, result).with(ORIGIN_HOST, host).with(ORIGIN_REALM, "pathlane.example");
        if (command == CREDIT_CONTROL) {
            answer.with(AUTH_APPLICATION, APPLICATION).with(TYPE, number(TYPE)).with(NUMBER, number(NUMBER));
        }
        return answer;
    }

    /** What a capabilities exchange says of a node. */
    Dia capabilities() {
        avps.add(new Avp(HOST_IP, new byte[] {0, 1, 127, 0, 0, 1}));
        return with(VENDOR, 0).with(PRODUCT, "stand-in").with(AUTH_APPLICATION, APPLICATION);
    }

    byte[] bytes() {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (Avp avp : avps) {
            int length = 8 + avp.data.length;
            body.writeBytes(ByteBuffer.allocate((length + 3) / 4 * 4).putInt(avp.code).putInt(0x40 << 24 | length)
                    .put(avp.data).array());
        }
        return ByteBuffer.allocate(20 + body.size()).putInt(1 << 24 | 20 + body.size()).putInt(flags << 24 | command)
                .putInt(application).putInt(hopByHop).putInt(endToEnd).put(body.toByteArray()).array();
    }

    /** Reads the next message; null at the end of the stream. */
    static Dia read(DataInputStream in) throws IOException {
        int first;
        try {
            first = in.readInt();
        } catch (EOFException e) {
            return null;
        }
        byte[] rest = new byte[(first & 0xffffff) - 4];
        in.readFully(rest);
        ByteBuffer buffer = ByteBuffer.wrap(rest);
        int flagsAndCommand = buffer.getInt();
        Dia message = new Dia(flagsAndCommand >>> 24, flagsAndCommand & 0xffffff, buffer.getInt(), buffer.getInt(),
                buffer.getInt());
        while (buffer.hasRemaining()) {
            int code = buffer.getInt();
            int flagsAndLength = buffer.getInt();
            int header = (flagsAndLength >>> 24 & 0x80) != 0 ? 12 : 8;
            if (header == 12) {
                buffer.getInt();
            }
            int length = flagsAndLength & 0xffffff;
            byte[] data = new byte[length - header];
            buffer.get(data);
            message.avps.add(new Avp(code, data));
            buffer.position(Math.min(buffer.limit(), buffer.position() + (4 - length % 4) % 4));
        }
        return message;
    }
}
