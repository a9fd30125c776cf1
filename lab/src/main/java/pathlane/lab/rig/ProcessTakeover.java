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
import pathlane.lab.EventRecorder.EventKind;
import pathlane.lab.Folders;
import pathlane.lab.History.Event;

/** Measures takeover with real processes: its duration, the calls it saves, and its cost for a calls' owner. */
public final class ProcessTakeover {

    private static final Duration REQUEST_DEADLINE = Duration.ofSeconds(6);
    private static final String CALL_CLASS = "status-check";
    private static final Pattern ADOPTED_CALLS = Pattern.compile("(\\d+) calls of lease \\d+ are adopted");
    private static final long TIMEOUT_MILLIS = 120_000;
    private static final int TICK_MILLIS = 10;
    private static final int MAX_REQUESTS_PER_TICK = 25;
    private static final long NANOS_PER_MICRO = 1_000;

    private final Path projectRoot;

    /** {@code home} is the root of the built project. */
    public ProcessTakeover(Path projectRoot) {
        this.projectRoot = projectRoot;
    }

    /** A measurement on a started test bed. */
    private interface Measurement<T> {
        T run(Rig rig) throws InterruptedException;
    }

    private <T> T measureOnRig(int controllers, boolean grouped, long seed, Measurement<T> measure)
            throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("pathlane-lab");
        T measured;
        try (Rig rig =
                new Rig(new Rig.Shape(controllers, 2, grouped ? 3 : 0, Math.min(3, controllers - 1), LeaseTerms.DEFAULT,
                        Duration.ofMillis(5), 20_000, Duration.ofSeconds(5)), projectRoot, folder, seed)) {
            rig.start();
            measured = measure.run(rig);
        }
        Folders.delete(folder);
        return measured;
    }

    /** Requests calls until this many more are established. */
    private static void establish(Rig rig, String controller, int count) throws InterruptedException {
        int wanted = rig.callOnLoop(() -> rig.clients().established().size()) + count;
        long deadline = System.nanoTime() + Duration.ofMillis(TIMEOUT_MILLIS).toNanos();
        while (rig.callOnLoop(() -> {
            int missing = wanted - rig.clients().established().size() - rig.clients().pendingRequests();
            for (int i = Math.min(missing, MAX_REQUESTS_PER_TICK); i > 0; i--) {
                rig.clients().requestCall(controller, i % 2, CALL_CLASS, REQUEST_DEADLINE);
            }
            return rig.clients().established().size() < wanted;
        })) {
            if (System.nanoTime() > deadline) {
                throw new IllegalStateException("the calls are not established");
            }
            Thread.sleep(TICK_MILLIS);
        }
    }

    private static long adoptedCalls(Event event) {
        Matcher matcher = ADOPTED_CALLS.matcher(event.text());
        return event.kind() == EventKind.LOGGED && matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
    }

    /** Waits until this many calls are adopted; returns the time of the last adoption. */
    private static long awaitAdopted(Rig rig, int from, int calls) throws InterruptedException {
        long[] sum = new long[1];
        long[] lastAdoptedAt = new long[1];
        rig.history().await(calls + " calls adopted", from, 1, TIMEOUT_MILLIS, event -> {
            long adopted = adoptedCalls(event);
            sum[0] += adopted;
            lastAdoptedAt[0] = adopted > 0 ? event.atNanos() : lastAdoptedAt[0];
            return adopted > 0 && sum[0] >= calls;
        });
        return lastAdoptedAt[0];
    }

    /** Time in milliseconds from killing a controller with this many calls until the last of them is adopted. */
    public Histogram measureAdoption(int controllers, int calls, int runs) throws IOException, InterruptedException {
        Histogram times = new Histogram(3);
        for (int run = 1; run <= runs; run++) {
            times.recordValue(measureOnRig(controllers, true, run, rig -> {
                establish(rig, "n1", calls);
                rig.awaitLog("n1", "replicated=true members=" + controllers + " records=" + calls + " ", 0);
                int from = rig.history().size();
                rig.process("n1").kill();
                long killedAt = rig.history().events().get(from).atNanos();
                return (awaitAdopted(rig, from, calls) - killedAt) / 1_000_000;
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
    public Ends measureMassFailure(int calls, boolean grouped, long seed) throws IOException, InterruptedException {
        return measureOnRig(10, grouped, seed, rig -> {
            for (String name : rig.processNames("n")) {
                establish(rig, name, calls);
            }
            for (String name : grouped ? rig.processNames("n") : List.<String>of()) {
                rig.awaitLog(name, "records=" + calls + " ", 0);
            }
            Set<String> callsOfKilled = new HashSet<>();
            List<String> killed = rig.processNames("n").subList(0, 7);
            rig.history().events().stream()
                    .filter(event -> event.kind() == EventKind.ANSWERED && killed.contains(event.peer()))
                    .forEach(event -> callsOfKilled.add(event.call()));
            int from = rig.history().size();
            for (String name : killed) {
                rig.process(name).kill();
            }
            if (grouped) {
                awaitAdopted(rig, from, calls * killed.size());
            }
            return endCalls(rig, callsOfKilled);
        });
    }

    private static Ends endCalls(Rig rig, Set<String> callsOfKilled) throws InterruptedException {
        Set<String> ended = new HashSet<>();
        Set<String> released = new HashSet<>();
        Set<String> lostWithServer = new HashSet<>();
        int from = rig.history().size();
        rig.onLoop(() -> {
            lostWithServer.addAll(rig.servers().get("s2").established());
            rig.servers().get("s1").established()
                    .forEach(call -> (ended.size() <= released.size() ? ended : released).add(call));
            ended.forEach(rig.servers().get("s1")::end);
            released.forEach(call -> rig.clients().release(call, "n8"));
            rig.serverGone("s2");
        });
        // Notifications normally arrive at once; the max delay is the 8 s for which the end of a call stays pending.
        Thread.sleep(Duration.ofSeconds(8).toMillis());
        Map<EventKind, Set<String>> seen = new HashMap<>();
        List<Event> events = rig.history().events();
        events.subList(from, events.size())
                .forEach(event -> seen.computeIfAbsent(event.kind(), any -> new HashSet<>()).add(event.call()));
        List.of(ended, released, lostWithServer).forEach(calls -> calls.retainAll(callsOfKilled));
        return new Ends(countIn(ended, seen.get(EventKind.TOLD_OVER)), ended.size(),
                countIn(released, seen.get(EventKind.HEARD_RELEASE)),
                released.size(), countIn(lostWithServer, seen.get(EventKind.TOLD_OVER)), lostWithServer.size(),
                rig.callOnLoop(() -> rig.servers().get("s1").established().size()));
    }

    private static int countIn(Set<String> calls, Set<String> seen) {
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
    public Cost measureOwnerCost(int calls, int eachSecond, boolean grouped, long seed)
            throws IOException, InterruptedException {
        return measureOnRig(3, grouped, seed, rig -> {
            sendCalls(rig, calls / 4, eachSecond);   // warm-up until the code is JIT-compiled
            Duration cpu = rig.process("n1").cpu();
            long bytes = rig.callOnLoop(() -> rig.faults().bytes("n1", "n"));
            int from = rig.history().size();
            sendCalls(rig, calls, eachSecond);
            Thread.sleep(200);   // lets the batch that is still buffered leave
            double used = rig.process("n1").cpu().minus(cpu).toNanos() / (double) NANOS_PER_MICRO / calls;
            double written = (rig.callOnLoop(() -> rig.faults().bytes("n1", "n")) - bytes) / (double) calls;
            Histogram answers = new Histogram(3);
            Map<String, Long> requestedAt = new HashMap<>();
            List<Event> events = rig.history().events();
            for (Event event : events.subList(from, events.size())) {
                if (event.kind() == EventKind.ASKED) {
                    requestedAt.put(event.call(), event.atNanos());
                } else if (event.kind() == EventKind.ANSWERED && requestedAt.containsKey(event.call())) {
                    answers.recordValue((event.atNanos() - requestedAt.get(event.call())) / NANOS_PER_MICRO);
                }
            }
            return new Cost(used, written, answers);
        });
    }

    private static void sendCalls(Rig rig, int calls, int eachSecond) throws InterruptedException {
        int callsPerTick = Math.max(1, eachSecond * TICK_MILLIS / 1000);
        long next = System.nanoTime();
        for (int requested = 0; requested < calls; requested += callsPerTick) {
            rig.onLoop(() -> {
                for (int i = 0; i < callsPerTick; i++) {
                    rig.clients().requestCall("n1", i % 2, CALL_CLASS, REQUEST_DEADLINE);
                }
                List.copyOf(rig.clients().established()).forEach(call -> rig.clients().release(call, "n1"));
            });
            next += Duration.ofMillis(TICK_MILLIS).toNanos();
            long left = next - System.nanoTime();
            if (left > 0) {
                Thread.sleep(left / 1_000_000, (int) (left % 1_000_000));
            }
        }
        while (rig.callOnLoop(() -> {
            List.copyOf(rig.clients().established()).forEach(call -> rig.clients().release(call, "n1"));
            return rig.clients().pendingRequests() > 0;
        })) {
            Thread.sleep(TICK_MILLIS);
        }
    }
}
