package pathlane.grpc;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Identifies the tries of one call for an application that retries on its own. It is created before the first try and
 * passed with each one as {@link PathlaneOptions#MARK}. Without a mark, a retry is recognized by its request, which is
 * less certain. Immutable and thread-safe.
 */
public final class CallMark {

    private final long key;

    private CallMark(long key) {
        this.key = key;
    }

    /** Creates a mark for a new call, with a random key of 64 bits. */
    public static CallMark create() {
        return new CallMark(ThreadLocalRandom.current().nextLong());
    }

    long key() {
        return key;
    }
}
