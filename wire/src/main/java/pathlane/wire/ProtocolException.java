package pathlane.wire;

/** Received bytes violate the protocol. The message states how; the connection they arrived on is closed. */
public final class ProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public ProtocolException(String message) {
        super(message, null, false, false);   // remote peers can trigger it at any rate: no stack trace
    }
}
