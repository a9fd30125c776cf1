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

/** Compares the index of failed calls with plain maps of the same size bound, at a steady rate of new entries. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class FailedTryBenchmark {

    private static final double RETENTION_MS = 9000;

    private record Entry(double insertedAt, long first, double firstAt, double notBefore, int attempts) {}

    /** Entries held; each operation inserts one new call and looks up one present and one absent key. */
    @Param({"1024", "16384"})
    public int held;

    private FailedCallIndex index;
    private Map<Long, Entry> linked;
    private Map<Long, Entry> scanned;
    private double now;
    private double stepMs;
    private SplittableRandom random;
    private long[] recentKeys;
    private int position;

    /** Fills each structure up to its steady state. */
    @Setup
    public void fill() {
        index = new FailedCallIndex(held * 2, RETENTION_MS);
        linked = new LinkedHashMap<>();
        scanned = new HashMap<>();
        random = new SplittableRandom(5);
        recentKeys = new long[held / 2];
        stepMs = RETENTION_MS / held;
        for (int i = 0; i < held; i++) {
            index();
            linkedMap();
            scannedMap();
        }
    }

    private long insertKey() {
        now += stepMs;
        long key = random.nextLong();
        position = (position + 1) % recentKeys.length;
        recentKeys[position] = key;
        return key;
    }

    private long presentKey() {
        return recentKeys[(position + 1) % recentKeys.length];
    }

    /** The index under test. */
    @Benchmark
    public int index() {
        long key = insertKey();
        int found = index.find(presentKey(), now) + index.find(~key, now);
        index.recordFailure(key, now, 1, now, now + 200, 1);
        return found;
    }

    /** A linked map that expires its oldest entries on each insertion. */
    @Benchmark
    public boolean linkedMap() {
        long key = insertKey();
        while (!linked.isEmpty() && now - linked.values().iterator().next().insertedAt >= RETENTION_MS) {
            linked.remove(linked.keySet().iterator().next());
        }
        boolean found = linked.containsKey(presentKey()) | linked.containsKey(~key);
        linked.put(key, new Entry(now, 1, now, now + 200, 1));
        return found;
    }

    /** A hash map that is scanned for expired entries each hundredth of the retention time. */
    @Benchmark
    public boolean scannedMap() {
        long key = insertKey();
        if ((long) (now / (RETENTION_MS / 100)) != (long) ((now - stepMs) / (RETENTION_MS / 100))) {
            scanned.values().removeIf(entry -> now - entry.insertedAt >= RETENTION_MS);
        }
        boolean found = scanned.containsKey(presentKey()) | scanned.containsKey(~key);
        scanned.put(key, new Entry(now, 1, now, now + 200, 1));
        return found;
    }
}
