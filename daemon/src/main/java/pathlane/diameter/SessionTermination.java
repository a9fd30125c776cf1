package pathlane.diameter;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Builds the request that terminates a session at its server from the initial request, or from what was kept of that. */
final class SessionTermination {

    private static final int TERMINATION = 3;
    private static final int ADMINISTRATIVE = 4;
    /** AVPs that a termination request needs from the initial request, besides the session id and the application. */
    private static final int[] RELEASE_TOKEN_AVPS =
            {Avp.ORIGIN_HOST, Avp.ORIGIN_REALM, Avp.DESTINATION_REALM, Avp.SERVICE_CONTEXT_ID,
                    Avp.CC_REQUEST_NUMBER};

    private SessionTermination() {}

    /** Encodes what another controller needs of an initial request, besides the session id, to terminate its session. */
    static byte[] releaseToken(DiameterMessage request) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int code : RELEASE_TOKEN_AVPS) {
            out.writeBytes(request.require(code).bytes());
        }
        return out.toByteArray();
    }

    /** Rebuilds as much of an initial request, sent by another controller, as is needed to terminate its session. */
    static DiameterMessage initialRequest(String call, byte[] releaseToken) {
        List<Avp> avps = new ArrayList<>(List.of(Avp.of(Avp.SESSION_ID, call),
                Avp.of(Avp.AUTH_APPLICATION_ID, DiameterMessage.CREDIT_CONTROL_APPLICATION)));
        for (ByteBuffer remaining = ByteBuffer.wrap(releaseToken); remaining.hasRemaining();) {
            avps.add(Avp.read(remaining));
        }
        return new DiameterMessage(DiameterMessage.REQUEST | DiameterMessage.PROXIABLE, DiameterMessage.CREDIT_CONTROL,
                DiameterMessage.CREDIT_CONTROL_APPLICATION, 0, 0, avps);
    }

    /** Returns the termination request for the session that this initial request opened. */
    static DiameterMessage of(DiameterMessage initialRequest, int endToEnd) {
        List<Avp> avps = new ArrayList<>();
        for (int code : new int[] {Avp.SESSION_ID, Avp.ORIGIN_HOST, Avp.ORIGIN_REALM, Avp.DESTINATION_REALM,
                Avp.AUTH_APPLICATION_ID, Avp.SERVICE_CONTEXT_ID}) {
            avps.add(initialRequest.require(code));
        }
        avps.add(Avp.of(Avp.CC_REQUEST_TYPE, TERMINATION));
        avps.add(Avp.of(Avp.CC_REQUEST_NUMBER, initialRequest.require(Avp.CC_REQUEST_NUMBER).number() + 1));
        avps.add(Avp.of(Avp.TERMINATION_CAUSE, ADMINISTRATIVE));
        return new DiameterMessage(DiameterMessage.REQUEST | DiameterMessage.PROXIABLE, DiameterMessage.CREDIT_CONTROL,
                DiameterMessage.CREDIT_CONTROL_APPLICATION, 0, endToEnd, avps);
    }
}
