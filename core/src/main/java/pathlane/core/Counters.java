package pathlane.core;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;
import pathlane.decision.Outcome;

/** The counters of a call controller since its start. Read from any thread, incremented on the event loop's thread alone. */
public final class Counters {

    /** The counters. Each has a fixed name under which it is exported and logged, since monitoring depends on it. */
    public enum Name {
        CALL_REQUESTS("set_ups"),
        ESTABLISHED("stood"),
        REJECTED("refused"),
        FAILED("failed"),
        GIVEN_UP_BY_CLIENT("given_up_by_caller"),
        ATTEMPTS("attempts"),
        ATTEMPTS_TIMED_OUT("attempts_timed_out"),
        ATTEMPTS_CANCELLED("attempts_cancelled"),
        ATTEMPTS_REJECTED("attempts_turned_away"),
        ATTEMPTS_UNREACHABLE("attempts_unreachable"),
        ATTEMPTS_RESET("attempts_reset"),
        ATTEMPTS_IN_ERROR("attempts_in_error"),
        ATTEMPTS_NOT_SENT("attempts_not_sent"),
        LATE_ANSWERS("late_answers"),
        RELEASED_BY_SERVER("released_by_server"),
        RELEASED_BY_CLIENT("released_by_caller"),
        CUT("cut"),
        ANSWERED_BY_GUARD("guard_answered"),
        BLOCKED_BY_GUARD("guard_not_sent"),
        RELEASED_UNKNOWN("relayed_unknown"),
        ADOPTED("adopted"),
        DISOWNED("disowned"),
        INTERNAL_ERRORS("internal_errors");

        private final String exportedName;

        Name(String exportedName) {
            this.exportedName = exportedName;
        }

        /** Returns the name in metrics and log lines. */
        public String exportedName() {
            return exportedName;
        }

        /** Returns the counter of attempts that ended with this outcome without establishing their call. */
        static Name ofAttempt(Outcome outcome) {
            return switch (outcome) {
                case TIMED_OUT -> ATTEMPTS_TIMED_OUT;
                case CANCELLED -> ATTEMPTS_CANCELLED;
                case REJECTED, NO_CAPACITY -> ATTEMPTS_REJECTED;
                case UNREACHABLE -> ATTEMPTS_UNREACHABLE;
                case RESET -> ATTEMPTS_RESET;
                case NOT_SENT -> ATTEMPTS_NOT_SENT;
                default -> ATTEMPTS_IN_ERROR;
            };
        }
    }

    private final Map<Name, LongAdder> values = new EnumMap<>(Name.class);

    Counters() {
        Arrays.stream(Name.values()).forEach(name -> values.put(name, new LongAdder()));
    }

    void count(Name name) {
        values.get(name).increment();
    }

    /** Returns the value of a counter since the start. */
    public long value(Name name) {
        return values.get(name).sum();
    }

    /** Returns the non-zero counters as {@code name=value} pairs on one line. */
    public String summary() {
        return values.entrySet().stream().filter(counter -> counter.getValue().sum() > 0)
                .map(counter -> counter.getKey().exportedName() + '=' + counter.getValue().sum())
                .collect(Collectors.joining(" "));
    }
}
