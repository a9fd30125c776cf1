package pathlane.lab.rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import pathlane.lab.Checker;
import pathlane.lab.History;
import pathlane.lab.SessionServer;
import pathlane.lab.Witness.What;

/**
 * Runs one scenario on a {@link Rig}: starts the group, executes the steps, clears all faults, ends all calls and checks
 * the history with a {@link Checker}. Steps wait for events, never for a fixed time; a timeout ends a run that hangs. Used
 * once.
 */
public final class ScenarioRun {

    private static final long MOST_MILLIS = Long.getLong("lab.most-ms", 60_000);
    private static final long LOOK_MILLIS = 50;
    /** Requests per poll: fewer than a client's connection may send. */
    private static final int AT_ONCE = 25;
    private static final Duration PATIENCE = Duration.ofSeconds(6);
    private static final String CLASS = "status-check";
    private static final Pattern TAKEN_OVER = Pattern.compile("adopted=(\\d+)");
    private static final Pattern COVERED = Pattern.compile("lease_valid=true replicated=true members=\\d+ records=(\\d+) ");
    /** Event names in scenario steps that count events. */
    private static final Map<String, What> COUNTED = Map.of("answered", What.ANSWERED, "refused", What.REFUSED,
            "broken", What.BROKEN, "told", What.TOLD_OVER, "heard", What.HEARD_RELEASE, "reached", What.REACHED,
            "stood", What.STOOD, "given-up", What.GIVEN_UP, "ended", What.ENDED, "failed", What.FAILED);

    private final Scenario scenario;
    private final Rig rig;
    private final History history;
    private final Set<String> stopped = new HashSet<>();
    /** Index in the history at which the last action step began; await steps search from there. */
    private int from;

    private ScenarioRun(Scenario scenario, Rig rig) {
        this.scenario = scenario;
        this.rig = rig;
        this.history = rig.history();
    }

    /**
     * Runs a scenario. Empty if all rules were kept, otherwise the first violation with its trace, or the step that failed.
     *
     * @param home root of the built project
     * @param folder empty folder for the run's files
     * @param seed for call ids and the controllers' random draws
     */
    public static Optional<String> play(Scenario scenario, Path home, Path folder, long seed)
            throws IOException, InterruptedException {
        try (Rig rig = new Rig(scenario.shape(), home, folder, seed)) {
            ScenarioRun run = new ScenarioRun(scenario, rig);
            String at = "start";
            try {
                rig.start();
                for (String step : scenario.steps()) {
                    at = step;
                    run.step(step);
                }
                at = "clearing all faults";
                run.finish();
            } catch (IllegalStateException | IllegalArgumentException e) {
                run.keepHistory(folder);
                return Optional
                        .of("step '" + at + "': " + e.getMessage() + run.judged().map(what -> "\n" + what).orElse(""));
            }
            return run.judged();
        }
    }

    private void keepHistory(Path folder) throws IOException {
        Files.write(folder.resolve("history.txt"), history.events().stream().map(History.Event::toString).toList());
    }

    private Optional<String> judged() throws InterruptedException {
        return new Checker(history.events(), true, rig.mostLag()).first().map(Checker.Broken::toString);
    }

    // ---- start and end

    private void finish() throws InterruptedException {
        for (String name : List.copyOf(stopped)) {
            goOn(name);
        }
        rig.onLoop(() -> {
            rig.restoreAll();
            rig.servers().values().forEach(server -> server.answers(true));
        });
        for (String name : rig.processes("")) {
            if (!rig.process(name).isUp()) {
                start(name);
            }
        }
        for (int tries = 0; !isOver(); tries++) {
            if (tries * LOOK_MILLIS > MOST_MILLIS) {
                throw new IllegalStateException("calls remain: " + left());
            }
            rig.onLoop(this::endSome);
            Thread.sleep(LOOK_MILLIS);   // poll interval; the loop waits until no calls remain
        }
    }

    private boolean isOver() throws InterruptedException {
        return rig.ask(() -> rig.caller().standing().isEmpty() && rig.caller().open() == 0
                && rig.servers().values().stream().allMatch(server -> server.standing().isEmpty()));
    }

    private String left() throws InterruptedException {
        return rig.ask(() -> {
            StringBuilder text = new StringBuilder("clients have " + some(rig.caller().standing()) + " and await answers for "
                    + rig.caller().open());
            rig.servers().forEach((name, server) -> text.append(", ").append(name).append(" has ")
                    .append(some(server.standing())));
            return text.toString();
        });
    }

    private static String some(Set<String> calls) {
        return calls.size() + calls.stream().limit(3).toList().toString();
    }

    /** Ends calls that are established on both sides, alternately by a release of the client and an end by the server. */
    private void endSome() {
        for (String controller : rig.processes("n")) {
            rig.caller().connect(controller);
        }
        boolean release = true;
        for (String call : rig.caller().standing()) {
            for (SessionServer server : rig.servers().values()) {
                if (server.standing().contains(call)) {
                    if (release) {
                        rig.caller().release(call, "n1");
                    } else {
                        server.end(call);
                    }
                    release = !release;
                }
            }
        }
    }

    // ---- steps

    private void step(String line) throws InterruptedException {
        String[] words = line.trim().split("\\s+");
        if (!words[0].equals("await") && !words[0].equals("expect")) {
            from = history.size();
            history.note(What.DID, "rig", "", "", line);
        }
        switch (words[0]) {
            case "await" -> await(words, line);
            case "expect" -> expect(words);
            case "ask" -> ask(number(words, 1), word(words, 3));
            case "stand" -> stand(number(words, 1), word(words, 3));
            case "hold" -> Thread.sleep(number(words, 1));   // min duration of a fault
            case "again" -> again(word(words, 2));
            case "release" -> release(number(words, 1), words.length > 3 ? words[3] : "n1");
            case "end" -> end(number(words, 1), word(words, 3));
            case "kill" -> each(words, 1, name -> rig.process(name).kill());
            case "stop" -> each(words, 1, name -> {
                rig.process(name).stop();
                stopped.add(name);
            });
            case "continue" -> each(words, 1, this::goOn);
            case "term" -> each(words, 1, name -> rig.process(name).term());
            case "start" -> each(words, 1, this::start);
            case "connect" -> each(words, 1, name -> rig.onLoop(() -> rig.caller().connect(name)));
            case "cut" -> ways(words, rig::cut);
            case "part" -> ways(words, (one, other) -> {
                rig.cut(one, other);
                rig.cut(other, one);
            });
            case "restore" -> ways(words, rig::restore);
            case "reset" -> ways(words, rig.faults()::reset);
            case "half-open" -> ways(words, rig.faults()::halfClose);
            case "delay" -> ways(words, (one, other) -> rig.faults().delay(one, other, Duration.ofMillis(number(words, 3))));
            case "throttle" -> ways(words, (one, other) -> rig.faults().throttle(one, other, number(words, 3)));
            case "server" -> server(word(words, 1), word(words, 2));
            default -> throw new IllegalArgumentException("'" + words[0] + "' is not a known step");
        }
    }

    private interface Deed {
        void to(String name) throws InterruptedException;
    }

    private void each(String[] words, int first, Deed deed) throws InterruptedException {
        for (int i = first; i < words.length; i++) {
            for (String name : names(words[i])) {
                deed.to(name);
            }
        }
    }

    private static String word(String[] words, int place) {
        if (words.length <= place) {
            throw new IllegalArgumentException("an argument is missing in '" + String.join(" ", words) + "'");
        }
        return words[place];
    }

    private static int number(String[] words, int place) {
        try {
            return Integer.parseInt(word(words, place));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("'" + words[place] + "' is not an integer", e);
        }
    }

    /** Resolves a party name, a comma-separated list of names, or a keyword for a set of parties. */
    private List<String> names(String word) {
        return switch (word) {
            case "members" -> rig.processes("n");
            case "voters" -> rig.processes("v");
            case "servers" -> List.copyOf(rig.servers().keySet());
            case "group" -> {
                List<String> all = new ArrayList<>(rig.processes("n"));
                all.addAll(rig.processes("v"));
                yield all;
            }
            default -> List.of(word.split(","));
        };
    }

    private void ways(String[] words, BiConsumer<String, String> does) throws InterruptedException {
        rig.onLoop(() -> {
            for (String one : names(word(words, 1))) {
                for (String other : names(word(words, 2))) {
                    if (!one.equals(other)) {
                        does.accept(one, other);
                    }
                }
            }
        });
    }

    private void start(String name) throws InterruptedException {
        int begin = history.size();
        rig.process(name).start();
        if (name.startsWith("n")) {
            rig.awaitLog(name, "serves on", begin);
            rig.onLoop(() -> rig.caller().connect(name));
        } else {
            rig.awaitLog(name, "votes for members", begin);
        }
    }

    private void goOn(String name) throws InterruptedException {
        stopped.remove(name);
        rig.process(name).goOn();
    }

    private void ask(int count, String controller) throws InterruptedException {
        for (int tries = 0; !rig.ask(() -> askNow(count, controller)); tries++) {
            if (tries * LOOK_MILLIS > MOST_MILLIS) {
                throw new IllegalStateException("clients can't connect to " + controller);
            }
            Thread.sleep(LOOK_MILLIS);   // its connection was closed as idle and is being reopened
        }
    }

    private boolean askNow(int count, String controller) {
        for (int i = 0; i < count && rig.caller().isConnected(controller); i++) {
            rig.caller().ask(controller, i % rig.servers().size(), CLASS, PATIENCE);
        }
        return rig.caller().isConnected(controller);
    }

    /** Requests calls until this many more are established; refused ones are requested again. */
    private void stand(int count, String controller) throws InterruptedException {
        int wanted = rig.ask(() -> rig.caller().standing().size()) + count;
        for (int tries = 0; tries * LOOK_MILLIS < MOST_MILLIS; tries++) {
            int missing = rig.ask(() -> wanted - rig.caller().standing().size() - rig.caller().open());
            if (missing > 0) {
                ask(Math.min(missing, AT_ONCE), controller);
            } else if (rig.ask(() -> rig.caller().standing().size()) == wanted) {
                return;
            }
            Thread.sleep(LOOK_MILLIS);
        }
        throw new IllegalStateException("the calls are not established: " + left());
    }

    private void again(String controller) throws InterruptedException {
        ask(0, controller);
        rig.onLoop(() -> broken().forEach(call -> rig.caller().again(call, controller, CLASS, PATIENCE)));
    }

    private Set<String> broken() {
        Set<String> broken = new HashSet<>();
        history.events().stream().filter(event -> event.what() == What.BROKEN).forEach(event -> broken.add(event.call()));
        return broken;
    }

    private void release(int count, String controller) throws InterruptedException {
        rig.onLoop(() -> {
            // Skips calls that their server has already ended: the release and the end would cross on the way.
            List<String> standing = rig.caller().standing().stream().filter(call -> rig.servers().values().stream()
                    .anyMatch(server -> server.standing().contains(call))).limit(count).toList();
            if (standing.size() < count) {
                throw new IllegalStateException("only " + standing.size() + " calls are established");
            }
            standing.forEach(call -> rig.caller().release(call, controller));
        });
    }

    private void end(int count, String server) throws InterruptedException {
        SessionServer one = rig.servers().get(server);
        if (one == null) {
            throw new IllegalArgumentException("'" + server + "' is not a known server; known servers: " + rig.servers().keySet());
        }
        rig.onLoop(() -> {
            Set<String> known = rig.caller().standing();
            List<String> standing = one.standing().stream().filter(known::contains).limit(count).toList();
            if (standing.size() < count) {
                throw new IllegalStateException("only " + standing.size() + " calls are established at " + server);
            }
            standing.forEach(one::end);
        });
    }

    private void server(String name, String what) throws InterruptedException {
        SessionServer one = rig.servers().get(name);
        rig.onLoop(() -> {
            switch (what) {
                case "silent" -> one.answers(false);
                case "answers" -> one.answers(true);
                case "dies" -> one.die();
                case "begins" -> one.start();
                case "gone" -> rig.gone(name);
                default -> throw new IllegalArgumentException("'" + what + "' is not a known server action");
            }
        });
    }

    // ---- await and expect

    private void await(String[] words, String line) throws InterruptedException {
        switch (word(words, 1)) {
            case "log" -> {
                String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                Set<String> who = new HashSet<>(names(word(words, 2)));
                history.await("'" + text + "' in the log of " + who, from, 1, MOST_MILLIS,
                        event -> event.what() == What.LOGGED && who.contains(event.who()) && event.text().contains(text));
            }
            case "covered" -> {
                String name = word(words, 2);
                int records = number(words, 3);
                history.await(records + " covered calls of " + name, from, 1, MOST_MILLIS, event -> {
                    Matcher matcher = COVERED.matcher(event.text());
                    return event.what() == What.LOGGED && event.who().equals(name) && matcher.find()
                            && Integer.parseInt(matcher.group(1)) == records;
                });
            }
            case "taken-over" -> {
                int calls = number(words, 2);
                Map<String, Integer> each = new HashMap<>();
                history.await(calls + " calls adopted", 0, 1, MOST_MILLIS, event -> takenOver(each, event) >= calls);
            }
            case "end" -> rig.process(word(words, 2)).awaitEnd();
            default -> {
                int count = number(words, 1);
                history.await(count + " " + words[2], 0, count, MOST_MILLIS, counted(words, 2));
            }
        }
    }

    private static int takenOver(Map<String, Integer> each, History.Event event) {
        Matcher matcher = TAKEN_OVER.matcher(event.text());
        if (event.what() == What.LOGGED && matcher.find()) {
            each.put(event.who(), Integer.parseInt(matcher.group(1)));
        }
        return each.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Parses the events to count, such as {@code heard} or {@code heard at s1}. */
    private Predicate<History.Event> counted(String[] words, int place) {
        What what = COUNTED.get(word(words, place));
        if (what == null) {
            throw new IllegalArgumentException("'" + words[place] + "' is not a known event; known events: "
                    + COUNTED.keySet().stream().sorted().toList());
        }
        Set<String> where = words.length > place + 2 ? new HashSet<>(names(words[place + 2])) : Set.of();
        return event -> event.what() == what
                && (where.isEmpty() || where.contains(event.who()) || where.contains(event.peer()));
    }

    private void expect(String[] words) {
        switch (word(words, 1)) {
            case "once" -> {
                What what = COUNTED.get(word(words, 2));
                Set<String> seen = new HashSet<>();
                history.events().stream().filter(event -> event.what() == what && !seen.add(event.call())).findFirst()
                        .ifPresent(event -> {
                            throw new IllegalStateException("call " + event.call() + " was " + words[2] + " twice");
                        });
            }
            case "taken-over" -> {
                Map<String, Integer> each = new HashMap<>();
                history.events().forEach(event -> takenOver(each, event));
                int sum = each.values().stream().mapToInt(Integer::intValue).sum();
                if (sum != number(words, 2)) {
                    throw new IllegalStateException(String.format(Locale.ROOT, "%d calls were adopted, not %s: %s", sum,
                            words[2], each));
                }
            }
            default -> {
                int expected = number(words, 1);
                long count = history.events().stream().filter(counted(words, 2)).count();
                if (count != expected) {
                    throw new IllegalStateException(count + " were " + words[2] + ", not " + expected);
                }
            }
        }
    }
}
