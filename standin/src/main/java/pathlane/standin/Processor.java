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
 * A model of a session server's processor: a single queue of requests, answers and releases. It rejects requests once its
 * queueing delay is too long, starts cold and warms up, crashes under overload while cold, still works on abandoned
 * requests, and loses its calls when it stops. Not thread-safe; time is the scheduler's.
 */
public final class Processor {

    /**
     * Costs and limits of the model. Work is in milliseconds of a warm processor at normal speed.
     *
     * @param requestWork work of a request
     * @param answerWork work of an answer; a release costs the same
     * @param rejectWork work of rejecting a request
     * @param retransmissionWork work of a retransmitted request while the first one still waits
     * @param retransmissionDelay a waiting request is retransmitted after this, then at doubling intervals; zero for never
     * @param maxWait a request that would wait longer is rejected
     * @param rules the settings of the cold start
     */
    public record Model(double requestWork, double answerWork, double rejectWork, double retransmissionWork,
            Duration retransmissionDelay,
            Duration maxWait, Rules rules) {

        /** Returns the model of a processor that handles this many calls a second when warm. */
        public static Model of(double callsPerSecond, Rules rules) {
            double workPerCall = 1000 / callsPerSecond;
            return new Model(workPerCall * 0.7, workPerCall * 0.15, workPerCall * 0.15, workPerCall * 0.3,
                    Duration.ofMillis(500),
                    Duration.ofMillis(2500), rules);
        }

        /** Calls a second that a warm processor can handle, including their answers and releases. */
        public double callsPerSecond() {
            return 1000 / (requestWork + 2 * answerWork);
        }
    }

    /** The client side of a call at this processor. */
    public interface Client {
        /** The call is established. */
        void answered();

        /** The request was rejected; {@code wait} is the processor's current queueing delay. */
        void rejected(Duration wait);

        /** The process crashed or stopped: no further event follows. */
        void lost();
    }

    /** The processor's state. */
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
        final Client client;
        boolean isEstablished;
        boolean isAbandoned;
        Scheduler.Timer retransmission;

        Call(Client client) {
            this.client = client;
        }
    }

    private final Scheduler time;
    private final Model model;
    private final Deque<Job> queue = new ArrayDeque<>();
    private final Map<String, Call> calls = new HashMap<>();
    private final Deque<Double> arrivalsWhileCold = new ArrayDeque<>();
    private State state = State.RUNNING;
    private double slowFactor = 1;
    private double coldSince = Double.NEGATIVE_INFINITY;
    private double queuedWork;
    private boolean isWorking;
    private long requests;
    private long answers;
    private long rejects;
    private long maxEstablished;
    private double maxColdBudgetUse;
    private boolean hasCrashed;

    /** Creates a warm, idle processor. */
    public Processor(Model model, Scheduler time) {
        this.model = model;
        this.time = time;
    }

    // ---- faults

    /** Starts a new, cold process; the calls of a former process are lost. */
    public void startCold() {
        stop();
        state = State.RUNNING;
        hasCrashed = false;
        coldSince = now();
        arrivalsWhileCold.clear();
    }

    /** Makes all work take this many times as long from now on; 1 restores the normal speed. */
    public void setSlowFactor(double factor) {
        slowFactor = factor;
    }

    /** Stops sending anything, without closing connections or calls. */
    public void fallSilent() {
        state = State.SILENT;
    }

    /** Ends the silence and resumes work. */
    public void resume() {
        state = state == State.SILENT ? State.RUNNING : state;
        workNext();
    }

    /** Accepts no new calls and stops after this time; calls that are still established then are lost. */
    public void drain(Duration stopsAfter) {
        state = State.DRAINING;
        time.after(stopsAfter, this::stop);
    }

    /** Stops the process: its queue and its calls are lost. */
    public void stop() {
        state = State.DOWN;
        queue.clear();
        queuedWork = 0;
        List<Call> lostCalls = new ArrayList<>(calls.values());
        calls.clear();
        lostCalls.forEach(call -> {
            cancelRetransmission(call);
            call.client.lost();
        });
    }

    // ---- calls

    /** Receives a call request. */
    public void requestReceived(String id, Client client) {
        if (state == State.DOWN) {
            client.lost();
            return;
        }
        requests++;
        if (isOverloadedWhileCold()) {
            hasCrashed = true;
            stop();
            client.lost();
            return;
        }
        Call call = new Call(client);
        if (state == State.DRAINING || queueingDelayMs() > Millis.of(model.maxWait())) {
            rejects++;
            Duration wait = Millis.toDuration(queueingDelayMs());
            enqueue(model.rejectWork(), () -> client.rejected(wait));
            return;
        }
        calls.put(id, call);
        scheduleRetransmission(id, call, model.retransmissionDelay());
        enqueue(model.requestWork(), () -> {
            cancelRetransmission(call);
            if (calls.get(id) == call) {
                enqueue(model.answerWork(), () -> answer(id, call));
            }
        });
    }

    private void answer(String id, Call call) {
        if (calls.get(id) == call && !call.isAbandoned) {
            answers++;
            call.isEstablished = true;
            maxEstablished = Math.max(maxEstablished, calls.values().stream().filter(each -> each.isEstablished).count());
            call.client.answered();
        } else {
            calls.remove(id, call);
        }
    }

    /** The client abandons a request or releases an established call; queued work on an abandoned request is still done. */
    public void released(String id) {
        Call call = calls.get(id);
        if (call == null) {
            return;
        }
        cancelRetransmission(call);
        if (call.isEstablished) {
            calls.remove(id);
            enqueue(model.answerWork(), () -> {});
        } else {
            call.isAbandoned = true;
        }
    }

    private void scheduleRetransmission(String id, Call call, Duration delay) {
        if (!delay.isZero()) {
            call.retransmission = time.after(delay, () -> {
                if (calls.get(id) == call && !call.isEstablished && !call.isAbandoned) {
                    enqueue(model.retransmissionWork(), () -> {});
                    scheduleRetransmission(id, call, delay.multipliedBy(2));
                }
            });
        }
    }

    private static void cancelRetransmission(Call call) {
        if (call.retransmission != null) {
            call.retransmission.cancel();
            call.retransmission = null;
        }
    }

    // ---- work queue

    private void enqueue(double work, Runnable done) {
        queue.add(new Job(work, done));
        queuedWork += work;
        workNext();
    }

    private void workNext() {
        if (isWorking || queue.isEmpty() || state == State.SILENT) {
            return;
        }
        isWorking = true;
        Job job = queue.peek();
        time.after(Millis.toDuration(job.work * slowFactor / warmth()), () -> {
            isWorking = false;
            if (queue.peek() == job) {
                if (state == State.SILENT) {
                    return;   // the job runs again once the silence ends
                }
                queue.poll();
                queuedWork -= job.work;
                job.done.run();
            }
            workNext();
        });
    }

    /** Returns how long a request that arrives now would wait. */
    public double queueingDelayMs() {
        return queuedWork * slowFactor / warmth();
    }

    /** Returns the current speed as a fraction of a warm processor's. */
    private double warmth() {
        Rules rules = model.rules();
        double coldForMs = now() - coldSince;
        return coldForMs >= rules.slowStartMs() ? 1
                : rules.slowStartFraction() + (1 - rules.slowStartFraction()) * coldForMs / rules.slowStartMs();
    }

    /** Whether the requests within a sliding window exceed the overload factor times the current capacity while cold. */
    private boolean isOverloadedWhileCold() {
        Rules rules = model.rules();
        double now = now();
        if (now - coldSince >= rules.slowStartMs()) {
            return false;
        }
        arrivalsWhileCold.add(now);
        while (now - arrivalsWhileCold.peek() >= rules.overloadWindowMs()) {
            arrivalsWhileCold.poll();
        }
        double maxArrivals = rules.overloadFactor() * warmth() * model.callsPerSecond() / 1000 * rules.overloadWindowMs();
        maxColdBudgetUse = Math.max(maxColdBudgetUse, arrivalsWhileCold.size() / maxArrivals);
        return arrivalsWhileCold.size() > maxArrivals;
    }

    private double now() {
        return Millis.of(time.now());
    }

    // ---- results

    public State state() {
        return state;
    }

    /** Returns the number of requests received. */
    public long requests() {
        return requests;
    }

    /** Returns the number of requests answered. */
    public long answers() {
        return answers;
    }

    /** Returns the number of requests rejected. */
    public long rejects() {
        return rejects;
    }

    /** Returns the number of calls established now. */
    public long established() {
        return calls.values().stream().filter(call -> call.isEstablished).count();
    }

    /** Returns the maximum number of calls established at one time. */
    public long maxEstablished() {
        return maxEstablished;
    }

    /** Returns whether the process crashed from overload while cold. */
    public boolean hasCrashed() {
        return hasCrashed;
    }

    /** Returns the maximum fraction of the cold-start budget used in any window; above 1 the process crashes. */
    public double maxColdBudgetUse() {
        return maxColdBudgetUse;
    }
}
