package pathlane.retry;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Compares the index of failed calls with plain maps of the same bound, at a steady turnover. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class FailedTryBenchmark {

    private static final double KEEP = 9000;

    private record Plain(double putAt, long first, double firstAt, double notBefore, int tries) {}

    /** Entries held; each operation puts one new call and looks up one that is there and one that is not. */
    @Param({"1024", "16384"})
    public int held;

    private FailedCallIndex index;
    private Map<Long, Plain> linked;
    private Map<Long, Plain> scanned;
    private double now;
    private double step;
    private SplittableRandom random;
    private long[] last;
    private int at;

    /** Fills each with as many as are held at the steady state. */
    @Setup
    public void fill() {
        index = new FailedCallIndex(held * 2, KEEP);
        linked = new LinkedHashMap<>();
        scanned = new HashMap<>();
        random = new SplittableRandom(5);
        last = new long[held / 2];
        step = KEEP / held;
        for (int i = 0; i < held; i++) {
            index();
            linkedMap();
            scannedMap();
        }
    }

    private long next() {
        now += step;
        long key = random.nextLong();
        at = (at + 1) % last.length;
        last[at] = key;
        return key;
    }

    private long known() {
        return last[(at + 1) % last.length];
    }

    /** The index. */
    @Benchmark
    public int index() {
        long key = next();
        int found = index.find(known(), now) + index.find(~key, now);
        index.recordFailure(key, now, 1, now, now + 200, 1);
        return found;
    }

    /** A linked map whose oldest entries are looked at. */
    @Benchmark
    public boolean linkedMap() {
        long key = next();
        while (!linked.isEmpty() && now - linked.values().iterator().next().putAt >= KEEP) {
            linked.remove(linked.keySet().iterator().next());
        }
        boolean found = linked.containsKey(known()) | linked.containsKey(~key);
        linked.put(key, new Plain(now, 1, now, now + 200, 1));
        return found;
    }

    /** A plain map that is scanned each time a hundredth of the span has passed. */
    @Benchmark
    public boolean scannedMap() {
        long key = next();
        if ((long) (now / (KEEP / 100)) != (long) ((now - step) / (KEEP / 100))) {
            scanned.values().removeIf(entry -> now - entry.putAt >= KEEP);
        }
        boolean found = scanned.containsKey(known()) | scanned.containsKey(~key);
        scanned.put(key, new Plain(now, 1, now, now + 200, 1));
        return found;
    }
}
