package pathlane.diameter;

/** A message that violates the protocol: the result code for its answer, and the AVP in error or null. */
final class DiameterException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final int resultCode;
    private final transient Avp failedAvp;

    DiameterException(int resultCode, Avp failedAvp, String message) {
        super(message);
        this.resultCode = resultCode;
        this.failedAvp = failedAvp;
    }

    int resultCode() {
        return resultCode;
    }

    Avp failedAvp() {
        return failedAvp;
    }
}
