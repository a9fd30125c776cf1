package pathlane.wire;

/** Bytes that break the protocol; the message says how, and the connection they came on ends. */
public final class BadInput extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public BadInput(String message) {
        super(message, null, false, false);   // bad clients throw it at will: no stack trace
    }
}
