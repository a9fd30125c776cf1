package pathlane.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pathlane.config.Millis;
import pathlane.config.Settings.Rules;
import pathlane.core.Scheduler;

/**
 * Models the processor of a session server: requests, answers and releases wait in a single queue. It rejects requests
 * once the wait is too long, starts cold and warms up, crashes if overloaded while cold, still processes cancelled
 * requests, and closes its calls when it stops. Not thread-safe; the scheduler provides the time.
 */
public final class Processor {

    /**
     * What the model costs and bears. Work is in milliseconds of a warm processor that is not slowed.
     *
     * @param setUp work of a request
     * @param answer work of an answer; a release costs as much
     * @param reject work of rejecting a request
     * @param repeat work of a repeated request that arrives while the first still waits
     * @param repeatAfter time after which a waiting request is repeated, then at doubling intervals; zero for never
     * @param longestWait a request that would wait longer is rejected
     * @param rules the figures of the cold start
     */
    public record Model(double setUp, double answer, double reject, double repeat, Duration repeatAfter,
            Duration longestWait, Rules rules) {

        /** A processor that does so many calls a second when warm. */
        public static Model of(double callsPerSecond, Rules rules) {
            double call = 1000 / callsPerSecond;
            return new Model(call * 0.7, call * 0.15, call * 0.15, call * 0.3, Duration.ofMillis(500),
                    Duration.ofMillis(2500), rules);
        }

        /** Requests per second that a warm processor can process, including their answers and releases. */
        public double callsPerSecond() {
            return 1000 / (setUp + 2 * answer);
        }
    }

    /** The client of a call. */
    public interface Caller {
        /** The call is established. */
        void answered();

        /** The request was rejected; {@code wait} is the processor's current wait. */
        void turnedAway(Duration wait);

        /** The process died or stopped: nothing more will come. */
        void cut();
    }

    /** How the processor is. */
    public enum State { RUNNING, DRAINING, SILENT, DOWN }

    private static final class Job {
        final double work;
        final Runnable done;

        Job(double work, Runnable done) {
            this.work = work;
            this.done = done;
        }
    }

    private static final class Call {
        final Caller caller;
        boolean standing;
        boolean givenUp;
        Scheduler.Timer repeat;

        Call(Caller caller) {
            this.caller = caller;
        }
    }

    private final Scheduler time;
    private final Model model;
    private final Deque<Job> line = new ArrayDeque<>();
    private final Map<String, Call> calls = new HashMap<>();
    private final Deque<Double> arrivedCold = new ArrayDeque<>();
    private State state = State.RUNNING;
    private double slow = 1;
    private double coldSince = Double.NEGATIVE_INFINITY;
    private double queued;
    private boolean working;
    private long setUps;
    private long answers;
    private long rejects;
    private long stoodAtMost;
    private double mostOfBudget;
    private boolean fell;

    /** A warm processor with nothing to do. */
    public Processor(Model model, Scheduler time) {
        this.model = model;
        this.time = time;
    }

    // ---- troubles

    /** A new process begins, cold; what an old one had is cut. */
    public void startCold() {
        stop();
        state = State.RUNNING;
        fell = false;
        coldSince = now();
        arrivedCold.clear();
    }

    /** Everything takes so many times as long from now on; 1 for as usual. */
    public void slow(double factor) {
        slow = factor;
    }

    /** Nothing is said any more, and nothing is closed. */
    public void silent() {
        state = State.SILENT;
    }

    /** It speaks again. */
    public void speak() {
        state = state == State.SILENT ? State.RUNNING : state;
        work();
    }

    /** Takes nothing new, and stops after so long; what stands then is cut. */
    public void drain(Duration stopsAfter) {
        state = State.DRAINING;
        time.after(stopsAfter, this::stop);
    }

    /** The process dies: its line is lost, its calls are cut. */
    public void stop() {
        state = State.DOWN;
        line.clear();
        queued = 0;
        List<Call> cut = new ArrayList<>(calls.values());
        calls.clear();
        cut.forEach(call -> {
            stopRepeats(call);
            call.caller.cut();
        });
    }

    // ---- calls

    /** Handles a request. */
    public void setUp(String id, Caller caller) {
        if (state == State.DOWN) {
            caller.cut();
            return;
        }
        setUps++;
        if (tooMuchWhileCold()) {
            fell = true;
            stop();
            caller.cut();
            return;
        }
        Call call = new Call(caller);
        if (state == State.DRAINING || waitMs() > Millis.of(model.longestWait())) {
            rejects++;
            Duration wait = Millis.toDuration(waitMs());
            enter(model.reject(), () -> caller.turnedAway(wait));
            return;
        }
        calls.put(id, call);
        repeatAfter(id, call, model.repeatAfter());
        enter(model.setUp(), () -> {
            stopRepeats(call);
            if (calls.get(id) == call) {
                enter(model.answer(), () -> answer(id, call));
            }
        });
    }

    private void answer(String id, Call call) {
        if (calls.get(id) == call && !call.givenUp) {
            answers++;
            call.standing = true;
            stoodAtMost = Math.max(stoodAtMost, calls.values().stream().filter(one -> one.standing).count());
            call.caller.answered();
        } else {
            calls.remove(id, call);
        }
    }

    /** The client cancels a request or releases an established call; a cancelled request is still processed. */
    public void released(String id) {
        Call call = calls.get(id);
        if (call == null) {
            return;
        }
        stopRepeats(call);
        if (call.standing) {
            calls.remove(id);
            enter(model.answer(), () -> {});
        } else {
            call.givenUp = true;
        }
    }

    private void repeatAfter(String id, Call call, Duration gap) {
        if (!gap.isZero()) {
            call.repeat = time.after(gap, () -> {
                if (calls.get(id) == call && !call.standing && !call.givenUp) {
                    enter(model.repeat(), () -> {});
                    repeatAfter(id, call, gap.multipliedBy(2));
                }
            });
        }
    }

    private static void stopRepeats(Call call) {
        if (call.repeat != null) {
            call.repeat.cancel();
            call.repeat = null;
        }
    }

    // ---- the one line

    private void enter(double work, Runnable done) {
        line.add(new Job(work, done));
        queued += work;
        work();
    }

    private void work() {
        if (working || line.isEmpty() || state == State.SILENT) {
            return;
        }
        working = true;
        Job job = line.peek();
        time.after(Millis.toDuration(job.work * slow / warmth()), () -> {
            working = false;
            if (line.peek() == job) {
                if (state == State.SILENT) {
                    return;   // it is done again when the processor speaks
                }
                line.poll();
                queued -= job.work;
                job.done.run();
            }
            work();
        });
    }

    /** How long a request that arrives now would wait. */
    public double waitMs() {
        return queued * slow / warmth();
    }

    /** Its present part of a warm processor's speed. */
    private double warmth() {
        Rules rules = model.rules();
        double since = now() - coldSince;
        return since >= rules.slowStartMs() ? 1
                : rules.slowStartFraction() + (1 - rules.slowStartFraction()) * since / rules.slowStartMs();
    }

    /** Rule four, as the bench words it: what came within any window, against what it could do at that moment. */
    private boolean tooMuchWhileCold() {
        Rules rules = model.rules();
        double now = now();
        if (now - coldSince >= rules.slowStartMs()) {
            return false;
        }
        arrivedCold.add(now);
        while (now - arrivedCold.peek() >= rules.overloadWindowMs()) {
            arrivedCold.poll();
        }
        double most = rules.overloadFactor() * warmth() * model.callsPerSecond() / 1000 * rules.overloadWindowMs();
        mostOfBudget = Math.max(mostOfBudget, arrivedCold.size() / most);
        return arrivedCold.size() > most;
    }

    private double now() {
        return Millis.of(time.now());
    }

    // ---- what came of it

    public State state() {
        return state;
    }

    /** Number of requests received. */
    public long setUps() {
        return setUps;
    }

    /** Number of requests answered. */
    public long answers() {
        return answers;
    }

    /** Number of rejected requests. */
    public long rejects() {
        return rejects;
    }

    /** Calls that stand now. */
    public long standing() {
        return calls.values().stream().filter(call -> call.standing).count();
    }

    /** The most calls that stood at one time. */
    public long stoodAtMost() {
        return stoodAtMost;
    }

    /** Whether it fell over while cold. */
    public boolean fell() {
        return fell;
    }

    /** The most of the cold rule's budget that was ever used in a window; over 1 it falls over. */
    public double mostOfBudget() {
        return mostOfBudget;
    }
}
