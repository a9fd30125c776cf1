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
    static final class Way {
        Duration delay = Duration.ZERO;
        boolean cut;
        /** Bytes per second; 0 for unlimited. */
        long throttle;
        /** Fractions of the datagrams that are lost and duplicated. */
        double lost;
        double twice;
        /** Bytes written in this direction so far. */
        long bytes;
        final List<Runnable> onRestored = new ArrayList<>();
    }

    private final Map<String, Way> ways = new HashMap<>();
    private final List<Path> paths = new ArrayList<>();

    Way way(String from, String to) {
        return ways.computeIfAbsent(from + ">" + to, any -> new Way());
    }

    void opened(Path path) {
        paths.add(path);
    }

    void closed(Path path) {
        paths.remove(path);
    }

    /** Bytes written so far from all parties whose names begin with one prefix to those whose names begin with the other. */
    public long bytes(String from, String to) {
        return ways.entrySet().stream().filter(one -> one.getKey().startsWith(from) && one.getKey().contains(">" + to))
                .mapToLong(one -> one.getValue().bytes).sum();
    }

    /** Whether this direction is blocked. */
    public boolean isCut(String from, String to) {
        return way(from, to).cut;
    }

    /** Blocks this direction; as with TCP, written bytes are held until it is restored or the connection is closed. */
    public void cut(String from, String to) {
        way(from, to).cut = true;
    }

    /** Blocks both directions. */
    public void partition(String one, String other) {
        cut(one, other);
        cut(other, one);
    }

    /** Unblocks this direction and delivers the held bytes. */
    public void restore(String from, String to) {
        Way way = way(from, to);
        way.cut = false;
        List<Runnable> waiting = List.copyOf(way.onRestored);
        way.onRestored.clear();
        waiting.forEach(Runnable::run);
    }

    /** Clears all faults. */
    public void restoreAll() {
        List<Way> all = List.copyOf(ways.values());
        for (Way way : all) {
            way.cut = false;
            way.delay = Duration.ZERO;
            way.throttle = 0;
            way.lost = 0;
            way.twice = 0;
        }
        for (Way way : all) {
            List<Runnable> waiting = List.copyOf(way.onRestored);
            way.onRestored.clear();
            waiting.forEach(Runnable::run);
        }
    }

    /** Adds latency in this direction. */
    public void delay(String from, String to, Duration delay) {
        way(from, to).delay = delay;
    }

    /** Limits each connection to this many bytes per second in this direction; 0 for unlimited. */
    public void throttle(String from, String to, long bytesEachSecond) {
        way(from, to).throttle = bytesEachSecond;
    }

    /** Sets the fractions of datagrams, from 0 to 1, that are lost and duplicated. Connections lose nothing. */
    public void datagrams(String from, String to, double lost, double twice) {
        way(from, to).lost = lost;
        way(from, to).twice = twice;
    }

    /** How many copies of a datagram sent now are delivered: none, one or two. */
    public int copies(String from, String to, SplittableRandom random) {
        Way way = way(from, to);
        boolean lost = random.nextDouble() < way.lost;
        boolean twice = random.nextDouble() < way.twice;
        return way.cut || lost ? 0 : twice ? 2 : 1;
    }

    /** The added latency of this direction. */
    public Duration delayed(String from, String to) {
        return way(from, to).delay;
    }

    /** Resets all connections between the two parties. */
    public void reset(String one, String other) {
        List.copyOf(paths).stream().filter(path -> path.joins(one, other)).forEach(Path::reset);
    }

    /** Leaves each connection between the two half open: one side sees it closed, the other does not. */
    public void halfClose(String told, String other) {
        List.copyOf(paths).stream().filter(path -> path.joins(told, other)).forEach(path -> path.halfClose(told));
    }

    /** A party's process has died: the peers of its connections see them closed. */
    public void gone(String party) {
        List.copyOf(paths).stream().filter(path -> path.isOf(party)).forEach(path -> path.gone(party));
    }

    /** The number of open connections between two parties. */
    public int open(String one, String other) {
        return (int) paths.stream().filter(path -> path.joins(one, other)).count();
    }
}
