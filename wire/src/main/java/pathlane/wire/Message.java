package pathlane.wire;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One message between clients, call controllers and session servers: a type, a call id and parameters. On the wire: a 2-byte
 * length, 1 byte of type, the 8-byte call id, then each parameter as 1 byte of code, 2 bytes of length and its value. All
 * numbers are big-endian.
 */
public final class Message {

    public static final int CALL_REQUEST = 1;
    public static final int PROGRESS = 6;
    public static final int ANSWER = 9;
    public static final int RELEASE = 12;
    public static final int RELEASE_COMPLETE = 16;
    public static final int CAPACITY_REPORT = 43;
    public static final int HEALTH_CHECK = 52;
    public static final int HEALTH_CHECK_RESULT = 53;

    public static final int CALL_CLASS = 129;
    public static final int REMAINING_DEADLINE = 132;
    public static final int DESTINATION = 141;
    public static final int ROUTING_PARAMETERS = 144;
    public static final int RETRY_AFTER = 147;
    public static final int CAUSE_DETAIL = 150;
    public static final int CAPACITY = 156;
    public static final int CAUSE = 171;
    public static final int DESCRIPTION = 174;

    /** The width of the length field that precedes each message. */
    public static final int LENGTH_BYTES = 2;
    private static final int HEADER_BYTES = 1 + Long.BYTES;
    private static final int MAX_BYTES = 16 * 1024;

    public final int type;
    public final long callId;
    private final Map<Integer, byte[]> parameters = new LinkedHashMap<>();

    public Message(int type, long call) {
        this.type = type;
        this.callId = call;
    }

    /** Creates a message for a call whose id is given as 16 hex digits. */
    public Message(int type, String call) {
        this(type, Long.parseUnsignedLong(call, 16));
    }

    /** Creates a frame assembler for a connection that carries these messages. */
    public static FrameAssembler assembler() {
        return new FrameAssembler(LENGTH_BYTES, HEADER_BYTES, MAX_BYTES);
    }

    /**
     * Decodes a frame, without its length field.
     *
     * @throws ProtocolException if the frame is malformed
     */
    public static Message read(ByteBuffer frame) {
        Message message = new Message(frame.get() & 0xff, frame.getLong());
        while (frame.hasRemaining()) {
            if (frame.remaining() < 1 + LENGTH_BYTES) {
                throw new ProtocolException("truncated parameter header");
            }
            int code = frame.get() & 0xff;
            int length = frame.getShort() & 0xffff;
            if (length > frame.remaining()) {
                throw new ProtocolException("parameter " + code + " exceeds the length of its message");
            }
            byte[] value = new byte[length];
            frame.get(value);
            message.parameters.put(code, value);
        }
        return message;
    }

    /** The call id as 16 hex digits. */
    public String id() {
        StringBuilder id = new StringBuilder(Long.toHexString(callId));
        return id.insert(0, "0".repeat(Long.BYTES * 2 - id.length())).toString();
    }

    public Message with(int code, byte[] value) {
        parameters.put(code, value);
        return this;
    }

    public Message with(int code, String text) {
        return with(code, text.getBytes(StandardCharsets.UTF_8));
    }

    public Message withCause(int cause) {
        return with(CAUSE, new byte[] {(byte) cause});
    }

    /** The parameter's raw value, or null if it is absent. */
    public byte[] value(int code) {
        return parameters.get(code);
    }

    /** The parameter's value as UTF-8 text, or an empty string if it is absent. */
    public String text(int code) {
        byte[] value = parameters.get(code);
        return value == null ? "" : new String(value, StandardCharsets.UTF_8);
    }

    /** Whether a valid cause is present: a value of exactly one byte. */
    public boolean hasCause() {
        byte[] value = parameters.get(CAUSE);
        return value != null && value.length == 1;
    }

    /**
     * The cause of a release.
     *
     * @throws ProtocolException if it is absent or not exactly one byte long
     */
    public int cause() {
        byte[] value = parameters.get(CAUSE);
        if (!hasCause()) {
            throw new ProtocolException("message of type " + type + " has no valid cause");
        }
        return value[0] & 0xff;
    }

    /** Encodes the message, with its length field. */
    public byte[] bytes() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ByteBuffer.allocate(LENGTH_BYTES + HEADER_BYTES).putShort((short) 0).put((byte) type)
                .putLong(callId).array());
        parameters.forEach((code, value) -> {
            out.write(code);
            out.write(value.length >> 8);
            out.write(value.length);
            out.writeBytes(value);
        });
        byte[] bytes = out.toByteArray();
        int length = bytes.length - LENGTH_BYTES;
        if (length > MAX_BYTES) {
            throw new IllegalStateException("message of " + length + " bytes is too long");
        }
        ByteBuffer.wrap(bytes).putShort((short) length);
        return bytes;
    }
}
