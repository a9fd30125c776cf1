package pathlane.diameter;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** A Diameter message (RFC 6733, section 3). */
record DiameterMessage(int flags, int command, int application, int hopByHop, int endToEnd, List<Avp> avps) {

    static final int CAPABILITIES_EXCHANGE = 257;
    static final int CREDIT_CONTROL = 272;
    static final int ABORT_SESSION = 274;
    static final int DEVICE_WATCHDOG = 280;
    static final int DISCONNECT_PEER = 282;
    /** The application id of Credit-Control (RFC 8506). */
    static final int CREDIT_CONTROL_APPLICATION = 4;
    static final int RELAY_APPLICATION = 0xffffffff;

    static final int REQUEST = 0x80;
    static final int PROXIABLE = 0x40;
    static final int ERROR = 0x20;
    static final int RETRANSMITTED = 0x10;
    private static final int RESERVED_FLAGS = 0x0f;
    static final int HEADER_BYTES = 20;
    private static final int BITS_PER_BYTE = 8;
    private static final int COMMAND_MASK = 0xffffff;

    /** Reads the header of a message without its AVPs: enough to answer a message that can't be parsed. */
    static DiameterMessage readHeader(ByteBuffer frame) {
        frame.getInt();
        int flagsAndCommand = frame.getInt();
        return new DiameterMessage(flagsAndCommand >>> Integer.SIZE - BITS_PER_BYTE, flagsAndCommand & COMMAND_MASK,
                frame.getInt(), frame.getInt(), frame.getInt(), List.of());
    }

    /** Reads the complete message in a frame. */
    static DiameterMessage read(ByteBuffer frame) {
        DiameterMessage header = readHeader(frame);
        if ((header.flags & RESERVED_FLAGS) != 0 || header.isRequest() && (header.flags & ERROR) != 0) {
            throw new DiameterException(ResultCode.INVALID_HDR_BITS, null, "header flags " + header.flags);
        }
        List<Avp> avps = new ArrayList<>();
        while (frame.hasRemaining()) {
            avps.add(Avp.read(frame));
        }
        return new DiameterMessage(header.flags, header.command, header.application, header.hopByHop, header.endToEnd, avps);
    }

    byte[] bytes() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(new byte[HEADER_BYTES]);
        avps.forEach(avp -> out.writeBytes(avp.bytes()));
        byte[] bytes = out.toByteArray();
        ByteBuffer.wrap(bytes).putInt(1 << Integer.SIZE - BITS_PER_BYTE | bytes.length)
                .putInt(flags << Integer.SIZE - BITS_PER_BYTE | command).putInt(application).putInt(hopByHop)
                .putInt(endToEnd);
        return bytes;
    }

    boolean isRequest() {
        return (flags & REQUEST) != 0;
    }

    /** The first AVP with this code, or null. */
    Avp find(int code) {
        return avps.stream().filter(avp -> avp.code() == code && avp.vendor() == 0).findFirst().orElse(null);
    }

    /** The first AVP with this code; if it is missing, throws an error whose answer has an example of the missing AVP. */
    Avp require(int code) {
        Avp found = find(code);
        if (found == null) {
            throw new DiameterException(ResultCode.MISSING_AVP, new Avp(code, Avp.MANDATORY, 0, new byte[0]),
                    "AVP " + code + " is missing");
        }
        return found;
    }

    /** This message as it is sent over another hop. */
    DiameterMessage withHop(int newHopByHop, int newFlags, List<Avp> newAvps) {
        return new DiameterMessage(newFlags, command, application, newHopByHop, endToEnd, newAvps);
    }

    /** This message without any AVP of this code. */
    DiameterMessage without(int code) {
        return withHop(hopByHop, flags, avps.stream().filter(avp -> avp.code() != code).toList());
    }

    /** An answer to this request, with these AVPs after the session id, the result code and the origin. */
    DiameterMessage answer(int resultCode, LocalNode local, List<Avp> additionalAvps) {
        List<Avp> answerAvps = new ArrayList<>();
        Avp session = find(Avp.SESSION_ID);
        if (session != null) {
            answerAvps.add(session);
        }
        answerAvps.add(Avp.of(Avp.RESULT_CODE, resultCode));
        answerAvps.add(Avp.of(Avp.ORIGIN_HOST, local.host()));
        answerAvps.add(Avp.of(Avp.ORIGIN_REALM, local.realm()));
        answerAvps.addAll(additionalAvps);
        int error = ResultCode.isProtocolError(resultCode) ? ERROR : 0;
        return new DiameterMessage(flags & PROXIABLE | error, command, application, hopByHop, endToEnd, answerAvps);
    }
}
