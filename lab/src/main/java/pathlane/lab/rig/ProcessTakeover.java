package pathlane.lab.rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.Histogram;
import pathlane.group.LeaseTerms;
import pathlane.lab.Folders;
import pathlane.lab.History.Event;
import pathlane.lab.Witness.What;

/** Measures takeover with real processes: its duration, the calls it saves, and its cost for a calls' owner. */
public final class ProcessTakeover {

    private static final Duration PATIENCE = Duration.ofSeconds(6);
    private static final String CLASS = "status-check";
    private static final Pattern TAKEN_OVER = Pattern.compile("(\\d+) calls of lease \\d+ are adopted");
    private static final long MOST_MILLIS = 120_000;
    private static final int TICK_MILLIS = 10;
    private static final int AT_ONCE = 25;
    private static final long MICROS = 1_000;

    private final Path home;

    /** {@code home} is the root of the built project. */
    public ProcessTakeover(Path home) {
        this.home = home;
    }

    /** A measurement on a started test bed. */
    private interface Measure<T> {
        T on(Rig rig) throws InterruptedException;
    }

    private <T> T with(int controllers, boolean grouped, long seed, Measure<T> measure)
            throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("pathlane-lab");
        T measured;
        try (Rig rig =
                new Rig(new Rig.Shape(controllers, 2, grouped ? 3 : 0, Math.min(3, controllers - 1), LeaseTerms.DEFAULT,
                        Duration.ofMillis(5), 20_000, Duration.ofSeconds(5)), home, folder, seed)) {
            rig.start();
            measured = measure.on(rig);
        }
        Folders.delete(folder);
        return measured;
    }

    /** Requests calls until this many more are established. */
    private static void stand(Rig rig, String controller, int count) throws InterruptedException {
        int wanted = rig.ask(() -> rig.caller().standing().size()) + count;
        long until = System.nanoTime() + Duration.ofMillis(MOST_MILLIS).toNanos();
        while (rig.ask(() -> {
            int missing = wanted - rig.caller().standing().size() - rig.caller().open();
            for (int i = Math.min(missing, AT_ONCE); i > 0; i--) {
                rig.caller().ask(controller, i % 2, CLASS, PATIENCE);
            }
            return rig.caller().standing().size() < wanted;
        })) {
            if (System.nanoTime() > until) {
                throw new IllegalStateException("the calls are not established");
            }
            Thread.sleep(TICK_MILLIS);
        }
    }

    private static long takenOver(Event event) {
        Matcher matcher = TAKEN_OVER.matcher(event.text());
        return event.what() == What.LOGGED && matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
    }

    /** Waits until this many calls are adopted; returns the time of the last adoption. */
    private static long awaitTakenOver(Rig rig, int from, int calls) throws InterruptedException {
        long[] sum = new long[1];
        long[] at = new long[1];
        rig.history().await(calls + " calls adopted", from, 1, MOST_MILLIS, event -> {
            long more = takenOver(event);
            sum[0] += more;
            at[0] = more > 0 ? event.atNanos() : at[0];
            return more > 0 && sum[0] >= calls;
        });
        return at[0];
    }

    /** Time in milliseconds from killing a controller with this many calls until the last of them is adopted. */
    public Histogram owned(int controllers, int calls, int runs) throws IOException, InterruptedException {
        Histogram times = new Histogram(3);
        for (int run = 1; run <= runs; run++) {
            times.recordValue(with(controllers, true, run, rig -> {
                stand(rig, "n1", calls);
                rig.awaitLog("n1", "replicated=true members=" + controllers + " records=" + calls + " ", 0);
                int from = rig.history().size();
                rig.process("n1").kill();
                long killedAt = rig.history().events().get(from).atNanos();
                return (awaitTakenOver(rig, from, calls) - killedAt) / 1_000_000;
            }));
        }
        return times;
    }

    /**
     * How many calls of killed controllers ended correctly, by the way in which they ended.
     *
     * @param ended ended by their server, and the client was notified
     * @param released released by their client, and the server received the release
     * @param cut lost with their server, and the client was notified
     * @param left still established at a server without a client
     */
    public record Ends(int ended, int ofEnded, int released, int ofReleased, int cut, int ofCut, int left) {}

    /** Kills seven of ten controllers with this many calls each, then ends all calls in three ways. */
    public Ends herd(int calls, boolean grouped, long seed) throws IOException, InterruptedException {
        return with(10, grouped, seed, rig -> {
            for (String name : rig.processes("n")) {
                stand(rig, name, calls);
            }
            for (String name : grouped ? rig.processes("n") : List.<String>of()) {
                rig.awaitLog(name, "records=" + calls + " ", 0);
            }
            Set<String> theirs = new HashSet<>();
            List<String> killed = rig.processes("n").subList(0, 7);
            rig.history().events().stream().filter(event -> event.what() == What.ANSWERED && killed.contains(event.peer()))
                    .forEach(event -> theirs.add(event.call()));
            int from = rig.history().size();
            for (String name : killed) {
                rig.process(name).kill();
            }
            if (grouped) {
                awaitTakenOver(rig, from, calls * killed.size());
            }
            return ends(rig, theirs);
        });
    }

    private static Ends ends(Rig rig, Set<String> theirs) throws InterruptedException {
        Set<String> ended = new HashSet<>();
        Set<String> released = new HashSet<>();
        Set<String> cut = new HashSet<>();
        int from = rig.history().size();
        rig.onLoop(() -> {
            cut.addAll(rig.servers().get("s2").standing());
            rig.servers().get("s1").standing()
                    .forEach(call -> (ended.size() <= released.size() ? ended : released).add(call));
            ended.forEach(rig.servers().get("s1")::end);
            released.forEach(call -> rig.caller().release(call, "n8"));
            rig.gone("s2");
        });
        // Notifications normally arrive at once; the max delay is the 8 s for which the end of a call stays pending.
        Thread.sleep(Duration.ofSeconds(8).toMillis());
        Map<What, Set<String>> seen = new HashMap<>();
        List<Event> events = rig.history().events();
        events.subList(from, events.size())
                .forEach(event -> seen.computeIfAbsent(event.what(), any -> new HashSet<>()).add(event.call()));
        List.of(ended, released, cut).forEach(calls -> calls.retainAll(theirs));
        return new Ends(both(ended, seen.get(What.TOLD_OVER)), ended.size(), both(released, seen.get(What.HEARD_RELEASE)),
                released.size(), both(cut, seen.get(What.TOLD_OVER)), cut.size(),
                rig.ask(() -> rig.servers().get("s1").standing().size()));
    }

    private static int both(Set<String> calls, Set<String> seen) {
        return (int) calls.stream().filter(call -> seen != null && seen.contains(call)).count();
    }

    /**
     * Cost of a call at its controller, from request to release.
     *
     * @param cpuMicros processor time in microseconds
     * @param bytes bytes written to other members
     * @param answers time from request to answer, in microseconds
     */
    public record Cost(double cpuMicros, double bytes, Histogram answers) {}

    /** Sends calls at a fixed rate to one of three controllers and releases each as soon as it is established. */
    public Cost owner(int calls, int eachSecond, boolean grouped, long seed) throws IOException, InterruptedException {
        return with(3, grouped, seed, rig -> {
            play(rig, calls / 4, eachSecond);   // warm-up until the code is JIT-compiled
            Duration cpu = rig.process("n1").cpu();
            long bytes = rig.ask(() -> rig.faults().bytes("n1", "n"));
            int from = rig.history().size();
            play(rig, calls, eachSecond);
            Thread.sleep(200);   // lets the batch that is still buffered leave
            double used = rig.process("n1").cpu().minus(cpu).toNanos() / (double) MICROS / calls;
            double written = (rig.ask(() -> rig.faults().bytes("n1", "n")) - bytes) / (double) calls;
            Histogram answers = new Histogram(3);
            Map<String, Long> asked = new HashMap<>();
            List<Event> events = rig.history().events();
            for (Event event : events.subList(from, events.size())) {
                if (event.what() == What.ASKED) {
                    asked.put(event.call(), event.atNanos());
                } else if (event.what() == What.ANSWERED && asked.containsKey(event.call())) {
                    answers.recordValue((event.atNanos() - asked.get(event.call())) / MICROS);
                }
            }
            return new Cost(used, written, answers);
        });
    }

    private static void play(Rig rig, int calls, int eachSecond) throws InterruptedException {
        int each = Math.max(1, eachSecond * TICK_MILLIS / 1000);
        long next = System.nanoTime();
        for (int asked = 0; asked < calls; asked += each) {
            rig.onLoop(() -> {
                for (int i = 0; i < each; i++) {
                    rig.caller().ask("n1", i % 2, CLASS, PATIENCE);
                }
                List.copyOf(rig.caller().standing()).forEach(call -> rig.caller().release(call, "n1"));
            });
            next += Duration.ofMillis(TICK_MILLIS).toNanos();
            long left = next - System.nanoTime();
            if (left > 0) {
                Thread.sleep(left / 1_000_000, (int) (left % 1_000_000));
            }
        }
        while (rig.ask(() -> {
            List.copyOf(rig.caller().standing()).forEach(call -> rig.caller().release(call, "n1"));
            return rig.caller().open() > 0;
        })) {
            Thread.sleep(TICK_MILLIS);
        }
    }
}
