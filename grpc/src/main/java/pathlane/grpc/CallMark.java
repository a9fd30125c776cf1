package pathlane.grpc;

import java.util.concurrent.ThreadLocalRandom;

/**
 * What all tries of one call share, where an application tries again by itself: made once before the first try, and
 * given with each as {@link PathlaneOptions#MARK}. With it a retry is known for certain; without it by what it asks.
 * Immutable, for any thread.
 */
public final class CallMark {

    private final long key;

    private CallMark(long key) {
        this.key = key;
    }

    /** A mark that no other call has. */
    public static CallMark create() {
        return new CallMark(ThreadLocalRandom.current().nextLong());
    }

    long key() {
        return key;
    }
}
