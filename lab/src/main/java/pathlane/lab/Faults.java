package pathlane.lab;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * What is wrong with the way from one party to another, in that direction alone. Parties are named; {@code *} stands for
 * all. One thread at a time.
 */
public final class Faults {

    /** One direction of all connections between two parties. */
    static final class Way {
        Duration delay = Duration.ZERO;
        boolean cut;
        /** Bytes a second; 0 for as many as there are. */
        long throttle;
        /** Parts of the datagrams that are lost, and that come twice. */
        double lost;
        double twice;
        /** Bytes that were written this way so far. */
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

    /** Bytes that were written so far from any party whose name begins with the one letter to any of the other. */
    public long bytes(String from, String to) {
        return ways.entrySet().stream().filter(one -> one.getKey().startsWith(from) && one.getKey().contains(">" + to))
                .mapToLong(one -> one.getValue().bytes).sum();
    }

    /** Whether nothing goes this way now. */
    public boolean isCut(String from, String to) {
        return way(from, to).cut;
    }

    /** Nothing goes this way any more; what is written waits, as TCP has it, until it is restored or given up. */
    public void cut(String from, String to) {
        way(from, to).cut = true;
    }

    /** The same in both directions. */
    public void partition(String one, String other) {
        cut(one, other);
        cut(other, one);
    }

    /** What was held goes on its way. */
    public void restore(String from, String to) {
        Way way = way(from, to);
        way.cut = false;
        List<Runnable> waiting = List.copyOf(way.onRestored);
        way.onRestored.clear();
        waiting.forEach(Runnable::run);
    }

    /** Nothing is wrong with any way any more. */
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

    /** Everything takes so much longer this way. */
    public void delay(String from, String to, Duration delay) {
        way(from, to).delay = delay;
    }

    /** So many bytes a second go this way on each connection; 0 for as many as there are. */
    public void throttle(String from, String to, long bytesEachSecond) {
        way(from, to).throttle = bytesEachSecond;
    }

    /** Such parts of the datagrams that go this way are lost, and come twice; from 0 to 1. Connections lose nothing. */
    public void datagrams(String from, String to, double lost, double twice) {
        way(from, to).lost = lost;
        way(from, to).twice = twice;
    }

    /** How often a datagram comes that goes this way now: not at all, once or twice. */
    public int copies(String from, String to, SplittableRandom random) {
        Way way = way(from, to);
        boolean lost = random.nextDouble() < way.lost;
        boolean twice = random.nextDouble() < way.twice;
        return way.cut || lost ? 0 : twice ? 2 : 1;
    }

    /** How much longer it takes this way. */
    public Duration delayed(String from, String to) {
        return way(from, to).delay;
    }

    /** All connections between the two are reset. */
    public void reset(String one, String other) {
        List.copyOf(paths).stream().filter(path -> path.joins(one, other)).forEach(Path::reset);
    }

    /** One side of each connection between the two is told that it has ended, and the other is not. */
    public void halfClose(String told, String other) {
        List.copyOf(paths).stream().filter(path -> path.joins(told, other)).forEach(path -> path.halfClose(told));
    }

    /** A party's process is gone: each of its connections ends, at the other side. */
    public void gone(String party) {
        List.copyOf(paths).stream().filter(path -> path.isOf(party)).forEach(path -> path.gone(party));
    }

    /** Connections that are open between two. */
    public int open(String one, String other) {
        return (int) paths.stream().filter(path -> path.joins(one, other)).count();
    }
}
