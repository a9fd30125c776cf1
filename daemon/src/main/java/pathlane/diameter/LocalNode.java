package pathlane.diameter;

import java.util.List;
import pathlane.config.file.ClientLimits;
import pathlane.transport.RateLimitedLog;

/**
 * This node's identity towards its peers, and the limits it sets them.
 *
 * @param log rate-limited, for messages that peers can trigger at will
 */
record LocalNode(String host, String realm, byte[] address, ClientLimits limits, RateLimitedLog log) {

    private static final String PRODUCT = "pathlane";

    /** The AVPs that describe this node in a capabilities exchange. */
    List<Avp> capabilities() {
        return List.of(Avp.address(Avp.HOST_IP_ADDRESS, address), Avp.of(Avp.VENDOR_ID, 0),
                new Avp(Avp.PRODUCT_NAME, 0, 0, PRODUCT.getBytes(java.nio.charset.StandardCharsets.UTF_8)),
                Avp.of(Avp.AUTH_APPLICATION_ID, DiameterMessage.CREDIT_CONTROL_APPLICATION));
    }
}
