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
import pathlane.lab.EventRecorder.EventKind;
import pathlane.lab.History.Event;

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
    public record Violation(String rule, String description, List<Event> trace) {

        @Override
        public String toString() {
            StringBuilder text = new StringBuilder(rule).append(": ").append(description);
            trace.forEach(event -> text.append("\n    ").append(event));
            return text.toString();
        }
    }

    private static final String END_NOTIFIED = "an end reaches its client";
    private static final String NONE_LEFT_OVER = "no established call is left over";
    private static final Set<String> END_RULES = Set.of(END_NOTIFIED, NONE_LEFT_OVER);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MIN_RETRY_GAP_NANOS = 200 * NANOS_PER_MILLI;
    private static final long MAX_DRAIN_DELAY_NANOS = 1_050 * NANOS_PER_MILLI;

    private final Map<String, List<Event>> byCall = new LinkedHashMap<>();
    private final Map<String, Long> drainAnnouncedAt = new HashMap<>();
    private final List<Violation> violations = new ArrayList<>();
    private final boolean isComplete;
    private final long toleranceNanos;

    /** {@code ended}: the history is complete, so an event that is missing never happened. */
    public Checker(List<Event> history, boolean isComplete) {
        this(history, isComplete, Duration.ZERO);
    }

    /** {@code slack}: max error of the history's timestamps, caused by stalls of the process that recorded them. */
    public Checker(List<Event> history, boolean isComplete, Duration tolerance) {
        this.isComplete = isComplete;
        this.toleranceNanos = tolerance.toNanos();
        for (Event event : history) {
            if (event.kind() == EventKind.DRAIN_TOLD) {
                drainAnnouncedAt.putIfAbsent(event.party(), event.atNanos());
            }
            if (!event.call().isEmpty()) {
                byCall.computeIfAbsent(event.call(), call -> new ArrayList<>()).add(event);
            }
        }
        byCall.forEach(this::checkCall);
        violations.sort(java.util.Comparator.comparingLong(one -> one.trace.get(one.trace.size() - 1).atNanos()));
    }

    /** Ignores missing ends of these calls: no replica of their records survived. */
    public Checker excludingEndsOf(Set<String> lost) {
        violations.removeIf(one -> END_RULES.contains(one.rule) && lost.contains(one.trace.get(0).call()));
        return this;
    }

    /** All violations, in order of time. */
    public List<Violation> violations() {
        return violations;
    }

    /** The first violation. */
    public Optional<Violation> firstViolation() {
        return violations.stream().findFirst();
    }

    private void checkCall(String call, List<Event> events) {
        Set<String> inFlightAt = new HashSet<>();
        Set<String> establishedAt = new HashSet<>();
        long lostAt = Long.MIN_VALUE;
        int answerCount = 0;
        int notifications = 0;
        boolean isRequested = false;
        boolean clientHasCall = false;
        boolean clientDisconnected = false;
        for (Event event : events) {
            switch (event.kind()) {
                case ASKED -> isRequested = true;
                case REACHED -> {
                    discardLateEnds(events, event, inFlightAt);
                    discardLateEnds(events, event, establishedAt);
                    if (!inFlightAt.isEmpty() || !establishedAt.isEmpty()) {
                        addViolation("one attempt at a time",
                                call + " reached " + event.party() + " while it was at " + inFlightAt
                                        + establishedAt,
                                events, event);
                    }
                    if (lostAt != Long.MIN_VALUE && event.atNanos() - lostAt < MIN_RETRY_GAP_NANOS - toleranceNanos) {
                        addViolation("200 ms after a lost attempt", call + " reached " + event.party() + " "
                                + (event.atNanos() - lostAt) / NANOS_PER_MILLI + " ms after", events, event);
                    }
                    Long announcedAt = drainAnnouncedAt.get(event.party());
                    if (announcedAt != null && event.atNanos() - announcedAt > MAX_DRAIN_DELAY_NANOS + toleranceNanos) {
                        addViolation("nothing new to a server that drains", call + " reached " + event.party() + " "
                                + (event.atNanos() - announcedAt) / NANOS_PER_MILLI + " ms after its drain was announced",
                                events, event);
                    }
                    inFlightAt.add(event.party());
                }
                case STOOD -> {
                    inFlightAt.remove(event.party());
                    establishedAt.add(event.party());
                }
                case TURNED_AWAY -> inFlightAt.remove(event.party());
                case GIVEN_UP -> {
                    if (inFlightAt.remove(event.party())) {
                        lostAt = event.atNanos();
                    }
                }
                case ENDED, HEARD_RELEASE -> establishedAt.remove(event.party());
                case GONE -> {}
                case ANSWERED, REFUSED, FAILED -> {
                    if (++answerCount > 1) {
                        addViolation("one final answer", call + " was answered again", events, event);
                    }
                    clientHasCall = event.kind() == EventKind.ANSWERED;
                }
                case BROKEN -> clientDisconnected = true;
                case RELEASED -> {
                    clientHasCall = false;
                    notifications++;
                }
                case TOLD_OVER -> {
                    clientHasCall = false;
                    notifications++;
                }
                default -> {}
            }
        }
        if (isComplete) {
            checkFinalState(call, events, new FinalState(isRequested, answerCount, notifications, clientHasCall,
                    clientDisconnected, establishedAt));
        }
    }

    /**
     * Tolerates ends that were recorded late: an attempt whose end is recorded after the next one's start may have ended in
     * time if the recording process stalled for that long.
     */
    private void discardLateEnds(List<Event> events, Event start, Set<String> servers) {
        servers.removeIf(server -> events.stream().anyMatch(event -> event.party().equals(server)
                && (event.kind() == EventKind.GIVEN_UP || event.kind() == EventKind.HEARD_RELEASE)
                && event.atNanos() >= start.atNanos()
                && event.atNanos() - start.atNanos() <= toleranceNanos - MIN_RETRY_GAP_NANOS));
    }

    private record FinalState(boolean isRequested, int answerCount, int notifications, boolean clientHasCall,
            boolean clientDisconnected,
            Set<String> establishedAt) {}

    private void checkFinalState(String call, List<Event> events, FinalState end) {
        Event last = events.get(events.size() - 1);
        if (end.isRequested && end.answerCount == 0 && !end.clientDisconnected) {
            addViolation("one final answer", call + " was never answered", events, last);
        }
        if (end.clientHasCall && end.establishedAt.isEmpty()) {
            addViolation(END_NOTIFIED, call + " has ended, and its client was not notified", events, last);
        }
        if (!end.establishedAt.isEmpty() && !end.clientHasCall) {
            addViolation(NONE_LEFT_OVER, call + " is still established at " + end.establishedAt + " without a client",
                    events, last);
        }
    }

    private void addViolation(String rule, String what, List<Event> events, Event last) {
        violations.add(new Violation(rule, what, List.copyOf(events.subList(0, events.indexOf(last) + 1))));
    }
}
