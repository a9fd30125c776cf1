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
    /** The application of Credit-Control (RFC 8506); nought is that of the base protocol. */
    static final int CREDIT_CONTROL_APPLICATION = 4;
    static final int RELAY_APPLICATION = 0xffffffff;

    static final int REQUEST = 0x80;
    static final int PROXIABLE = 0x40;
    static final int ERROR = 0x20;
    static final int RETRANSMITTED = 0x10;
    private static final int RESERVED = 0x0f;
    static final int HEAD = 20;
    private static final int BYTE = 8;
    private static final int THREE_BYTES = 0xffffff;

    /** The head of a message, without its AVPs: enough to answer a message that can't be read. */
    static DiameterMessage readHead(ByteBuffer frame) {
        frame.getInt();
        int flagsAndCommand = frame.getInt();
        return new DiameterMessage(flagsAndCommand >>> Integer.SIZE - BYTE, flagsAndCommand & THREE_BYTES,
                frame.getInt(), frame.getInt(), frame.getInt(), List.of());
    }

    /** Reads a whole message that is known to be one frame. */
    static DiameterMessage read(ByteBuffer frame) {
        DiameterMessage head = readHead(frame);
        if ((head.flags & RESERVED) != 0 || head.isRequest() && (head.flags & ERROR) != 0) {
            throw new Fault(ResultCode.INVALID_HDR_BITS, null, "header flags " + head.flags);
        }
        List<Avp> avps = new ArrayList<>();
        while (frame.hasRemaining()) {
            avps.add(Avp.read(frame));
        }
        return new DiameterMessage(head.flags, head.command, head.application, head.hopByHop, head.endToEnd, avps);
    }

    byte[] bytes() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(new byte[HEAD]);
        avps.forEach(avp -> out.writeBytes(avp.bytes()));
        byte[] bytes = out.toByteArray();
        ByteBuffer.wrap(bytes).putInt(1 << Integer.SIZE - BYTE | bytes.length)
                .putInt(flags << Integer.SIZE - BYTE | command).putInt(application).putInt(hopByHop)
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

    /** The first AVP with this code; its absence is a fault, answered with an example of what is missing. */
    Avp require(int code) {
        Avp found = find(code);
        if (found == null) {
            throw new Fault(ResultCode.MISSING_AVP, new Avp(code, Avp.MANDATORY, 0, new byte[0]),
                    "AVP " + code + " is missing");
        }
        return found;
    }

    /** The same as it goes over another hop. */
    DiameterMessage withHop(int newHopByHop, int newFlags, List<Avp> newAvps) {
        return new DiameterMessage(newFlags, command, application, newHopByHop, endToEnd, newAvps);
    }

    /** An answer to this request with these AVPs after the session's id and the result. */
    DiameterMessage answer(int resultCode, LocalNode local, List<Avp> more) {
        List<Avp> all = new ArrayList<>();
        Avp session = find(Avp.SESSION_ID);
        if (session != null) {
            all.add(session);
        }
        all.add(Avp.of(Avp.RESULT_CODE, resultCode));
        all.add(Avp.of(Avp.ORIGIN_HOST, local.host()));
        all.add(Avp.of(Avp.ORIGIN_REALM, local.realm()));
        all.addAll(more);
        int error = ResultCode.isProtocolError(resultCode) ? ERROR : 0;
        return new DiameterMessage(flags & PROXIABLE | error, command, application, hopByHop, endToEnd, all);
    }
}
