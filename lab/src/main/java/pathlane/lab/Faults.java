package pathlane.lab;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Network faults injected per direction between two named parties. Not safe for threads.
 */
public final class Faults {

    /** The faults of one direction between two parties, for all connections and datagrams. */
    static final class Direction {
        Duration delay = Duration.ZERO;
        boolean isBlocked;
        /** Bytes per second; 0 for unlimited. */
        long bytesPerSecond;
        /** Fractions of the datagrams that are lost and duplicated. */
        double lossRate;
        double duplicationRate;
        /** Bytes written in this direction so far. */
        long bytesWritten;
        final List<Runnable> onRestored = new ArrayList<>();
    }

    private final Map<String, Direction> directions = new HashMap<>();
    private final List<FaultyConnection> paths = new ArrayList<>();

    Direction direction(String from, String to) {
        return directions.computeIfAbsent(from + ">" + to, any -> new Direction());
    }

    void opened(FaultyConnection path) {
        paths.add(path);
    }

    void closed(FaultyConnection path) {
        paths.remove(path);
    }

    /** Bytes written so far from all parties whose names begin with one prefix to those whose names begin with the other. */
    public long bytes(String from, String to) {
        return directions.entrySet().stream().filter(one -> one.getKey().startsWith(from) && one.getKey().contains(">" + to))
                .mapToLong(one -> one.getValue().bytesWritten).sum();
    }

    /** Whether this direction is blocked. */
    public boolean isBlocked(String from, String to) {
        return direction(from, to).isBlocked;
    }

    /** Blocks this direction; as with TCP, written bytes are held until it is restored or the connection is closed. */
    public void block(String from, String to) {
        direction(from, to).isBlocked = true;
    }

    /** Blocks both directions. */
    public void partition(String one, String other) {
        block(one, other);
        block(other, one);
    }

    /** Unblocks this direction and delivers the held bytes. */
    public void restore(String from, String to) {
        Direction direction = direction(from, to);
        direction.isBlocked = false;
        List<Runnable> waiting = List.copyOf(direction.onRestored);
        direction.onRestored.clear();
        waiting.forEach(Runnable::run);
    }

    /** Clears all faults. */
    public void restoreAll() {
        List<Direction> all = List.copyOf(directions.values());
        for (Direction direction : all) {
            direction.isBlocked = false;
            direction.delay = Duration.ZERO;
            direction.bytesPerSecond = 0;
            direction.lossRate = 0;
            direction.duplicationRate = 0;
        }
        for (Direction direction : all) {
            List<Runnable> waiting = List.copyOf(direction.onRestored);
            direction.onRestored.clear();
            waiting.forEach(Runnable::run);
        }
    }

    /** Adds latency in this direction. */
    public void delay(String from, String to, Duration delay) {
        direction(from, to).delay = delay;
    }

    /** Limits each connection to this many bytes per second in this direction; 0 for unlimited. */
    public void throttle(String from, String to, long bytesPerSecond) {
        direction(from, to).bytesPerSecond = bytesPerSecond;
    }

    /** Sets the fractions of datagrams, from 0 to 1, that are lost and duplicated. Connections lose nothing. */
    public void setDatagramFaults(String from, String to, double lossRate, double duplicationRate) {
        direction(from, to).lossRate = lossRate;
        direction(from, to).duplicationRate = duplicationRate;
    }

    /** How many copies of a datagram sent now are delivered: none, one or two. */
    public int deliveredCopies(String from, String to, SplittableRandom random) {
        Direction direction = direction(from, to);
        boolean isLost = random.nextDouble() < direction.lossRate;
        boolean isDuplicated = random.nextDouble() < direction.duplicationRate;
        return direction.isBlocked || isLost ? 0 : isDuplicated ? 2 : 1;
    }

    /** The added latency of this direction. */
    public Duration addedDelay(String from, String to) {
        return direction(from, to).delay;
    }

    /** Resets all connections between the two parties. */
    public void reset(String one, String other) {
        List.copyOf(paths).stream().filter(path -> path.connects(one, other)).forEach(FaultyConnection::reset);
    }

    /** Leaves each connection between the two half open: one side sees it closed, the other does not. */
    public void halfOpen(String notified, String other) {
        List.copyOf(paths).stream().filter(path -> path.connects(notified, other)).forEach(path -> path.halfClose(notified));
    }

    /** A party's process has died: the peers of its connections see them closed. */
    public void processDied(String party) {
        List.copyOf(paths).stream().filter(path -> path.involves(party)).forEach(path -> path.processDied(party));
    }

    /** The number of open connections between two parties. */
    public int openConnections(String one, String other) {
        return (int) paths.stream().filter(path -> path.connects(one, other)).count();
    }
}
