package pathlane.core;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;
import pathlane.decision.Outcome;

/** What a call controller has done since its start. Any thread may read it; the loop's thread alone counts. */
public final class Counters {

    /** What is counted. Each has the name under which it is exported and logged, which stays as it is. */
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
        DISOWNED("disowned");

        private final String exportedName;

        Name(String exportedName) {
            this.exportedName = exportedName;
        }

        /** The name in metrics and log lines. */
        public String exportedName() {
            return exportedName;
        }

        /** What an attempt counts as that ended so without its call being established. */
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

    /** How often it was counted since the start. */
    public long value(Name name) {
        return values.get(name).sum();
    }

    /** Those that are not nought, as {@code name=value} pairs on one line. */
    public String summary() {
        return values.entrySet().stream().filter(counter -> counter.getValue().sum() > 0)
                .map(counter -> counter.getKey().exportedName() + '=' + counter.getValue().sum())
                .collect(Collectors.joining(" "));
    }
}
