package pathlane.diameter;

/** A message that breaks the protocol: the result code that answers it, and the AVP at fault or null. */
final class Fault extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final int resultCode;
    private final transient Avp failed;

    Fault(int resultCode, Avp failed, String what) {
        super(what);
        this.resultCode = resultCode;
        this.failed = failed;
    }

    int resultCode() {
        return resultCode;
    }

    Avp failed() {
        return failed;
    }
}
