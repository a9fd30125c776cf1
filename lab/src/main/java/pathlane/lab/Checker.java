package pathlane.lab;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import pathlane.lab.History.Event;
import pathlane.lab.Witness.What;

/**
 * Checks the invariants of each call over the history of all controllers: one final answer; never two attempts in flight;
 * no new attempt at a server more than a second after its drain was announced, nor within 200 ms of a lost attempt; for
 * established calls, a release reaches the server, an end reaches the client, and no call is left over. Reports each
 * violated rule with the call's trace.
 */
public final class Checker {

    /**
     * A violation of one rule.
     *
     * @param trace the call's events up to the violation
     */
    public record Broken(String rule, String what, List<Event> trace) {

        @Override
        public String toString() {
            StringBuilder text = new StringBuilder(rule).append(": ").append(what);
            trace.forEach(event -> text.append("\n    ").append(event));
            return text.toString();
        }
    }

    private static final String END_FINDS = "an end reaches its client";
    private static final String LEFT = "no established call is left over";
    private static final Set<String> ENDS = Set.of(END_FINDS, LEFT);
    private static final long MILLI = 1_000_000;
    private static final long GAP = 200 * MILLI;
    private static final long DRAIN = 1_050 * MILLI;

    private final Map<String, List<Event>> byCall = new LinkedHashMap<>();
    private final Map<String, Long> drainTold = new HashMap<>();
    private final List<Broken> broken = new ArrayList<>();
    private final boolean ended;
    private final long slack;

    /** {@code ended}: the history is complete, so an event that is missing never happened. */
    public Checker(List<Event> history, boolean ended) {
        this(history, ended, Duration.ZERO);
    }

    /** {@code slack}: max error of the history's timestamps, caused by stalls of the process that recorded them. */
    public Checker(List<Event> history, boolean ended, Duration slack) {
        this.ended = ended;
        this.slack = slack.toNanos();
        for (Event event : history) {
            if (event.what() == What.DRAIN_TOLD) {
                drainTold.putIfAbsent(event.who(), event.atNanos());
            }
            if (!event.call().isEmpty()) {
                byCall.computeIfAbsent(event.call(), call -> new ArrayList<>()).add(event);
            }
        }
        byCall.forEach(this::judge);
        broken.sort(java.util.Comparator.comparingLong(one -> one.trace.get(one.trace.size() - 1).atNanos()));
    }

    /** Ignores missing ends of these calls: no replica of their records survived. */
    public Checker without(Set<String> lost) {
        broken.removeIf(one -> ENDS.contains(one.rule) && lost.contains(one.trace.get(0).call()));
        return this;
    }

    /** All violations, in order of time. */
    public List<Broken> broken() {
        return broken;
    }

    /** The first violation. */
    public Optional<Broken> first() {
        return broken.stream().findFirst();
    }

    private void judge(String call, List<Event> events) {
        Set<String> out = new HashSet<>();
        Set<String> standsAt = new HashSet<>();
        long lostAt = Long.MIN_VALUE;
        int answers = 0;
        int told = 0;
        boolean asked = false;
        boolean callerHasIt = false;
        boolean callerLeft = false;
        for (Event event : events) {
            switch (event.what()) {
                case ASKED -> asked = true;
                case REACHED -> {
                    forgetLate(events, event, out);
                    forgetLate(events, event, standsAt);
                    if (!out.isEmpty() || !standsAt.isEmpty()) {
                        fail("one attempt at a time", call + " reached " + event.who() + " while it was at " + out
                                + standsAt, events, event);
                    }
                    if (lostAt != Long.MIN_VALUE && event.atNanos() - lostAt < GAP - slack) {
                        fail("200 ms after a lost attempt", call + " reached " + event.who() + " "
                                + (event.atNanos() - lostAt) / MILLI + " ms after", events, event);
                    }
                    Long drain = drainTold.get(event.who());
                    if (drain != null && event.atNanos() - drain > DRAIN + slack) {
                        fail("nothing new to a server that drains", call + " reached " + event.who() + " "
                                + (event.atNanos() - drain) / MILLI + " ms after its drain was announced", events, event);
                    }
                    out.add(event.who());
                }
                case STOOD -> {
                    out.remove(event.who());
                    standsAt.add(event.who());
                }
                case TURNED_AWAY -> out.remove(event.who());
                case GIVEN_UP -> {
                    if (out.remove(event.who())) {
                        lostAt = event.atNanos();
                    }
                }
                case ENDED, HEARD_RELEASE -> standsAt.remove(event.who());
                case GONE -> {}
                case ANSWERED, REFUSED, FAILED -> {
                    if (++answers > 1) {
                        fail("one final answer", call + " was answered again", events, event);
                    }
                    callerHasIt = event.what() == What.ANSWERED;
                }
                case BROKEN -> callerLeft = true;
                case RELEASED -> {
                    callerHasIt = false;
                    told++;
                }
                case TOLD_OVER -> {
                    callerHasIt = false;
                    told++;
                }
                default -> {}
            }
        }
        if (ended) {
            judgeEnd(call, events, new End(asked, answers, told, callerHasIt, callerLeft, standsAt));
        }
    }

    /**
     * Tolerates ends that were recorded late: an attempt whose end is recorded after the next one's start may have ended in
     * time if the recording process stalled for that long.
     */
    private void forgetLate(List<Event> events, Event begins, Set<String> at) {
        at.removeIf(server -> events.stream().anyMatch(event -> event.who().equals(server)
                && (event.what() == What.GIVEN_UP || event.what() == What.HEARD_RELEASE)
                && event.atNanos() >= begins.atNanos() && event.atNanos() - begins.atNanos() <= slack - GAP));
    }

    private record End(boolean asked, int answers, int told, boolean callerHasIt, boolean callerLeft,
            Set<String> standsAt) {}

    private void judgeEnd(String call, List<Event> events, End end) {
        Event last = events.get(events.size() - 1);
        if (end.asked && end.answers == 0 && !end.callerLeft) {
            fail("one final answer", call + " was never answered", events, last);
        }
        if (end.callerHasIt && end.standsAt.isEmpty()) {
            fail(END_FINDS, call + " has ended, and its client was not notified", events, last);
        }
        if (!end.standsAt.isEmpty() && !end.callerHasIt) {
            fail(LEFT, call + " is still established at " + end.standsAt + " without a client", events, last);
        }
    }

    private void fail(String rule, String what, List<Event> events, Event at) {
        broken.add(new Broken(rule, what, List.copyOf(events.subList(0, events.indexOf(at) + 1))));
    }
}
