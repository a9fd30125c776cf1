package pathlane.diameter;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** One attribute-value pair (RFC 6733, section 4); the vendor id is zero if there is none. */
record Avp(int code, int flags, int vendor, byte[] data) {

    static final int HOST_IP_ADDRESS = 257;
    static final int AUTH_APPLICATION_ID = 258;
    static final int SESSION_ID = 263;
    static final int ORIGIN_HOST = 264;
    static final int VENDOR_ID = 266;
    static final int RESULT_CODE = 268;
    static final int PRODUCT_NAME = 269;
    static final int DISCONNECT_CAUSE = 273;
    static final int FAILED_AVP = 279;
    static final int ORIGIN_STATE_ID = 278;
    static final int ROUTE_RECORD = 282;
    static final int DESTINATION_REALM = 283;
    static final int DESTINATION_HOST = 293;
    static final int TERMINATION_CAUSE = 295;
    static final int ORIGIN_REALM = 296;
    static final int CC_REQUEST_NUMBER = 415;
    static final int CC_REQUEST_TYPE = 416;
    static final int SERVICE_IDENTIFIER = 439;
    static final int SUBSCRIPTION_ID = 443;
    static final int SUBSCRIPTION_ID_DATA = 444;
    static final int VALIDITY_TIME = 448;
    static final int SERVICE_CONTEXT_ID = 461;

    static final int MANDATORY = 0x40;
    private static final int VENDOR_SPECIFIC = 0x80;
    private static final int RESERVED_FLAGS = 0x1f;
    private static final int HEADER_BYTES = 8;
    private static final int ALIGNMENT_BYTES = 4;
    private static final int BITS_PER_BYTE = 8;
    private static final int ADDRESS_FAMILY_IPV4 = 1;

    static Avp of(int code, String text) {
        return new Avp(code, MANDATORY, 0, text.getBytes(StandardCharsets.UTF_8));
    }

    static Avp of(int code, int number) {
        return new Avp(code, MANDATORY, 0, ByteBuffer.allocate(Integer.BYTES).putInt(number).array());
    }

    static Avp of(int code, Avp inner) {
        return new Avp(code, MANDATORY, 0, inner.bytes());
    }

    /** An Address of the IPv4 family. */
    static Avp address(int code, byte[] ip) {
        return new Avp(code, MANDATORY, 0, ByteBuffer.allocate(2 + ip.length).putShort((short) ADDRESS_FAMILY_IPV4).put(ip)
                .array());
    }

    /** Reads one AVP; an error has a result code and the part of the AVP that could be read. */
    static Avp read(ByteBuffer from) {
        if (from.remaining() < HEADER_BYTES) {
            byte[] rest = new byte[from.remaining()];
            from.get(rest);
            throw new DiameterException(ResultCode.INVALID_AVP_LENGTH, new Avp(0, 0, 0, rest), "truncated AVP header");
        }
        int code = from.getInt();
        int flagsAndLength = from.getInt();
        int flags = flagsAndLength >>> Integer.SIZE - BITS_PER_BYTE;
        int length = flagsAndLength & 0xffffff;
        int headerBytes = (flags & VENDOR_SPECIFIC) == 0 ? HEADER_BYTES : HEADER_BYTES + Integer.BYTES;
        if (length < headerBytes || length - HEADER_BYTES > from.remaining()) {
            throw new DiameterException(ResultCode.INVALID_AVP_LENGTH,
                    new Avp(code, flags & ~VENDOR_SPECIFIC, 0, new byte[0]),
                    "AVP " + code + " of " + length + " bytes");
        }
        int vendor = headerBytes == HEADER_BYTES ? 0 : from.getInt();
        byte[] data = new byte[length - headerBytes];
        from.get(data);
        if ((flags & RESERVED_FLAGS) != 0) {
            throw new DiameterException(ResultCode.INVALID_AVP_BITS, new Avp(code, flags & ~RESERVED_FLAGS, vendor, data),
                    "AVP " + code + " with reserved bits");
        }
        from.position(from.position() + Math.min(padding(length), from.remaining()));
        return new Avp(code, flags, vendor, data);
    }

    byte[] bytes() {
        int headerBytes = vendor == 0 ? HEADER_BYTES : HEADER_BYTES + Integer.BYTES;
        int length = headerBytes + data.length;
        ByteBuffer out = ByteBuffer.allocate(length + padding(length));
        int vendorFlag = vendor == 0 ? 0 : VENDOR_SPECIFIC;
        out.putInt(code).putInt((flags & ~VENDOR_SPECIFIC | vendorFlag) << Integer.SIZE - BITS_PER_BYTE | length);
        if (vendor != 0) {
            out.putInt(vendor);
        }
        return out.put(data).array();
    }

    private static int padding(int length) {
        return (ALIGNMENT_BYTES - length % ALIGNMENT_BYTES) % ALIGNMENT_BYTES;
    }

    /**
     * The value as UTF-8 text, decoded strictly: a replaced session id would name another session when it is encoded again.
     */
    String text() {
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(data)).toString();
        } catch (CharacterCodingException e) {
            throw new DiameterException(ResultCode.INVALID_AVP_VALUE, this, "AVP " + code + " is not UTF-8 text");
        }
    }

    /** The value as a 32-bit number. */
    int number() {
        if (data.length != Integer.BYTES) {
            throw new DiameterException(ResultCode.INVALID_AVP_LENGTH, this, "AVP " + code + " is not a 32-bit number");
        }
        return ByteBuffer.wrap(data).getInt();
    }
}
