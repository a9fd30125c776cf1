package pathlane.lab.scale;

import com.google.gson.Gson;
import java.util.List;

/**
 * What the run and a process that holds controllers say to each other: one line of text each, commands on the process's
 * standard input and one answer to each on its standard output.
 */
sealed interface ControlMessage {

    /** From the run to a process. */
    sealed interface Command extends ControlMessage { }

    /** From a process to the run. */
    sealed interface Answer extends ControlMessage { }

    /** Starts all controllers of the process; answered by {@link Done}. */
    record StartControllers() implements Command { }

    /** Answered by {@link Status}. */
    record GetStatus() implements Command { }

    /** Figures start from nought; answered by {@link Done}. */
    record BeginDay() implements Command { }

    /** Answered by {@link Figures}. */
    record GetFigures() implements Command { }

    /** Compares all that is in force with the source's digests in a file; answered by {@link Verdict}. */
    record Verify(String digestFile) implements Command { }

    /** Breaks all connections at once; answered by {@link Done}. */
    record BreakConnections() implements Command { }

    /** Frees memory that nothing refers to; answered by {@link Done}. */
    record CollectGarbage() implements Command { }

    /** The controllers stop, and that many follow the event bus at this address; answered by {@link Done}. */
    record StartBaseline(int controllers, String host, int port) implements Command { }

    /** Answered by {@link BaselineStatus}. */
    record GetBaselineStatus() implements Command { }

    /** The process ends. */
    record End() implements Command { }

    /** The process can be commanded. */
    record Ready() implements Answer { }

    /** A command was carried out. */
    record Done() implements Answer { }

    /**
     * How far the controllers are.
     *
     * @param connected controllers with a publisher
     * @param connections how often controllers have connected since the day began
     * @param lowestInForce the least revision in force of all
     * @param furthestBehind the name of a controller that has only that in force; empty where there is none
     */
    record Status(int controllers, int connected, long connections, long lowestInForce, String furthestBehind) implements Answer { }

    /**
     * What was counted since the day began.
     *
     * @param regions what was measured in each region
     * @param endpoints servers in the controllers' lists, added up
     */
    record Figures(int controllers, long endpoints, List<RegionFigures> regions, long bytesReceived, long bytesWritten,
                   WatchFigures watches) implements Answer { }

    /**
     * What was measured in one region.
     *
     * @param histogram times from commit to in force in microseconds, an HdrHistogram compressed in Base64
     * @param lastInForceMicros when a change last came in force, in microseconds of Unix time; 0 for never
     */
    record RegionFigures(String histogram, long lastInForceMicros) { }

    /** The watch clients' counters, added up. */
    record WatchFigures(long connections, long messages, long snapshots, long deltas, long bookmarks, long refused, long gaps,
                        long withheld) {

        static final WatchFigures NONE = new WatchFigures(0, 0, 0, 0, 0, 0, 0, 0);

        WatchFigures plus(WatchFigures other) {
            return new WatchFigures(connections + other.connections, messages + other.messages, snapshots + other.snapshots,
                    deltas + other.deltas, bookmarks + other.bookmarks, refused + other.refused, gaps + other.gaps,
                    withheld + other.withheld);
        }

        WatchFigures minus(WatchFigures other) {
            return new WatchFigures(connections - other.connections, messages - other.messages, snapshots - other.snapshots,
                    deltas - other.deltas, bookmarks - other.bookmarks, refused - other.refused, gaps - other.gaps,
                    withheld - other.withheld);
        }
    }

    /**
     * The result of a comparison.
     *
     * @param examples some of what differs, one sentence each
     */
    record Verdict(long equal, long different, List<String> examples) implements Answer { }

    /**
     * How far the controllers are that follow the event bus.
     *
     * @param lowestEvent the least event in force of all
     * @param bytesReceived since the baseline started
     */
    record BaselineStatus(int controllers, long lowestEvent, long bytesReceived) implements Answer { }

    /** A message as a line: its type's name, a space and its content as JSON. */
    static String line(ControlMessage message) {
        return message.getClass().getSimpleName() + " " + Lines.GSON.toJson(message);
    }

    /** @throws IllegalArgumentException where the line is no such command */
    static Command command(String line) {
        return (Command) Lines.parse(line, Command.class);
    }

    /** @throws IllegalArgumentException where the line is no such answer */
    static Answer answer(String line) {
        return (Answer) Lines.parse(line, Answer.class);
    }

    /** Reads lines. */
    final class Lines {

        private static final Gson GSON = new Gson();

        private Lines() { }

        private static Object parse(String line, Class<?> kind) {
            int space = line.indexOf(' ');
            for (Class<?> type : kind.getPermittedSubclasses()) {
                if (space > 0 && type.getSimpleName().equals(line.substring(0, space))) {
                    return GSON.fromJson(line.substring(space + 1), type);
                }
            }
            throw new IllegalArgumentException("not a " + kind.getSimpleName() + ": " + line);
        }
    }
}
