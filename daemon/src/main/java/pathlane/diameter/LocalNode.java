package pathlane.diameter;

import java.util.List;
import pathlane.config.file.CallerLimits;
import pathlane.transport.RateLimitedLog;

/**
 * Who this node is to its peers, and what it allows them.
 *
 * @param log for what peers can bring about at will
 */
record LocalNode(String host, String realm, byte[] address, CallerLimits limits, RateLimitedLog log) {

    private static final String PRODUCT = "pathlane";

    /** The AVPs by which it introduces itself in a capabilities exchange. */
    List<Avp> introduction() {
        return List.of(Avp.address(Avp.HOST_IP_ADDRESS, address), Avp.of(Avp.VENDOR_ID, 0),
                new Avp(Avp.PRODUCT_NAME, 0, 0, PRODUCT.getBytes(java.nio.charset.StandardCharsets.UTF_8)),
                Avp.of(Avp.AUTH_APPLICATION_ID, DiameterMessage.CREDIT_CONTROL_APPLICATION));
    }
}
