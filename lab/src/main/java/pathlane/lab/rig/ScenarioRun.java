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
import pathlane.lab.EventRecorder.EventKind;
import pathlane.lab.History;
import pathlane.lab.SimulatedServer;

/**
 * Runs one scenario on a {@link Rig}: starts the group, executes the steps, clears all faults, ends all calls and checks
 * the history with a {@link Checker}. Steps wait for events, never for a fixed time; a timeout ends a run that hangs. Used
 * once.
 */
public final class ScenarioRun {

    private static final long TIMEOUT_MILLIS = Long.getLong("lab.most-ms", 60_000);
    private static final long POLL_INTERVAL_MILLIS = 50;
    /** Requests per poll: fewer than a client's connection may send. */
    private static final int MAX_REQUESTS_PER_POLL = 25;
    private static final Duration REQUEST_DEADLINE = Duration.ofSeconds(6);
    private static final String CALL_CLASS = "status-check";
    private static final Pattern ADOPTED_CALLS = Pattern.compile("adopted=(\\d+)");
    private static final Pattern REPLICATED_RECORDS =
            Pattern.compile("lease_valid=true replicated=true members=\\d+ records=(\\d+) ");
    /** Event names in scenario steps that count events. */
    private static final Map<String, EventKind> COUNTABLE_EVENTS = Map.of("answered", EventKind.ANSWERED, "refused",
            EventKind.REFUSED,
            "broken", EventKind.BROKEN, "told", EventKind.TOLD_OVER, "heard", EventKind.HEARD_RELEASE, "reached",
            EventKind.REACHED,
            "stood", EventKind.STOOD, "given-up", EventKind.GIVEN_UP, "ended", EventKind.ENDED, "failed", EventKind.FAILED);

    private final Scenario scenario;
    private final Rig rig;
    private final History history;
    private final Set<String> stoppedProcesses = new HashSet<>();
    /** Index in the history at which the last action step began; await steps search from there. */
    private int searchFrom;

    private ScenarioRun(Scenario scenario, Rig rig) {
        this.scenario = scenario;
        this.rig = rig;
        this.history = rig.history();
    }

    /**
     * Runs a scenario. Empty if all rules were kept, otherwise the first violation with its trace, or the step that failed.
     *
     * @param projectRoot root of the built project
     * @param folder empty folder for the run's files
     * @param seed for call ids and the controllers' random draws
     */
    public static Optional<String> run(Scenario scenario, Path projectRoot, Path folder, long seed)
            throws IOException, InterruptedException {
        try (Rig rig = new Rig(scenario.shape(), projectRoot, folder, seed)) {
            ScenarioRun run = new ScenarioRun(scenario, rig);
            String currentStep = "start";
            try {
                rig.start();
                for (String step : scenario.steps()) {
                    currentStep = step;
                    run.step(step);
                }
                currentStep = "clearing all faults";
                run.endAllCalls();
            } catch (IllegalStateException | IllegalArgumentException e) {
                run.writeHistory(folder);
                return Optional
                        .of("step '" + currentStep + "': " + e.getMessage()
                                + run.violation().map(what -> "\n" + what).orElse(""));
            }
            return run.violation();
        }
    }

    private void writeHistory(Path folder) throws IOException {
        Files.write(folder.resolve("history.txt"), history.events().stream().map(History.Event::toString).toList());
    }

    private Optional<String> violation() throws InterruptedException {
        return new Checker(history.events(), true, rig.maxStall()).firstViolation().map(Checker.Violation::toString);
    }

    // ---- start and end

    private void endAllCalls() throws InterruptedException {
        for (String name : List.copyOf(stoppedProcesses)) {
            resume(name);
        }
        rig.onLoop(() -> {
            rig.restoreAll();
            rig.servers().values().forEach(server -> server.setAnswering(true));
        });
        for (String name : rig.processNames("")) {
            if (!rig.process(name).isUp()) {
                start(name);
            }
        }
        for (int polls = 0; !hasNoCalls(); polls++) {
            if (polls * POLL_INTERVAL_MILLIS > TIMEOUT_MILLIS) {
                throw new IllegalStateException("calls remain: " + describeRemainingCalls());
            }
            rig.onLoop(this::endEstablishedCalls);
            Thread.sleep(POLL_INTERVAL_MILLIS);   // poll interval; the loop waits until no calls remain
        }
    }

    private boolean hasNoCalls() throws InterruptedException {
        return rig.callOnLoop(() -> rig.clients().established().isEmpty() && rig.clients().pendingRequests() == 0
                && rig.servers().values().stream().allMatch(server -> server.established().isEmpty()));
    }

    private String describeRemainingCalls() throws InterruptedException {
        return rig.callOnLoop(() -> {
            StringBuilder text =
                    new StringBuilder("clients have " + summarize(rig.clients().established()) + " and wait for answers to "
                            + rig.clients().pendingRequests());
            rig.servers().forEach((name, server) -> text.append(", ").append(name).append(" has ")
                    .append(summarize(server.established())));
            return text.toString();
        });
    }

    private static String summarize(Set<String> calls) {
        return calls.size() + calls.stream().limit(3).toList().toString();
    }

    /** Ends calls that are established on both sides, alternately by a release of the client and an end by the server. */
    private void endEstablishedCalls() {
        for (String controller : rig.processNames("n")) {
            rig.clients().connect(controller);
        }
        boolean release = true;
        for (String call : rig.clients().established()) {
            for (SimulatedServer server : rig.servers().values()) {
                if (server.established().contains(call)) {
                    if (release) {
                        rig.clients().release(call, "n1");
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
            searchFrom = history.size();
            history.record(EventKind.DID, "rig", "", "", line);
        }
        switch (words[0]) {
            case "await" -> await(words, line);
            case "expect" -> expect(words);
            case "ask" -> requestCalls(intArgument(words, 1), argument(words, 3));
            case "stand" -> establish(intArgument(words, 1), argument(words, 3));
            case "hold" -> Thread.sleep(intArgument(words, 1));   // min duration of a fault
            case "again" -> repeatBroken(argument(words, 2));
            case "release" -> releaseCalls(intArgument(words, 1), words.length > 3 ? words[3] : "n1");
            case "end" -> endCalls(intArgument(words, 1), argument(words, 3));
            case "kill" -> forEachName(words, 1, name -> rig.process(name).kill());
            case "stop" -> forEachName(words, 1, name -> {
                rig.process(name).stop();
                stoppedProcesses.add(name);
            });
            case "continue" -> forEachName(words, 1, this::resume);
            case "term" -> forEachName(words, 1, name -> rig.process(name).terminate());
            case "start" -> forEachName(words, 1, this::start);
            case "connect" -> forEachName(words, 1, name -> rig.onLoop(() -> rig.clients().connect(name)));
            case "cut" -> forEachDirection(words, rig::block);
            case "part" -> forEachDirection(words, (one, other) -> {
                rig.block(one, other);
                rig.block(other, one);
            });
            case "restore" -> forEachDirection(words, rig::restore);
            case "reset" -> forEachDirection(words, rig.faults()::reset);
            case "half-open" -> forEachDirection(words, rig.faults()::halfOpen);
            case "delay" -> forEachDirection(words,
                    (one, other) -> rig.faults().delay(one, other, Duration.ofMillis(intArgument(words, 3))));
            case "throttle" ->
                forEachDirection(words, (one, other) -> rig.faults().throttle(one, other, intArgument(words, 3)));
            case "server" -> serverAction(argument(words, 1), argument(words, 2));
            default -> throw new IllegalArgumentException("'" + words[0] + "' is not a known step");
        }
    }

    private interface ProcessAction {
        void apply(String name) throws InterruptedException;
    }

    private void forEachName(String[] words, int first, ProcessAction action) throws InterruptedException {
        for (int i = first; i < words.length; i++) {
            for (String name : resolveNames(words[i])) {
                action.apply(name);
            }
        }
    }

    private static String argument(String[] words, int place) {
        if (words.length <= place) {
            throw new IllegalArgumentException("an argument is missing in '" + String.join(" ", words) + "'");
        }
        return words[place];
    }

    private static int intArgument(String[] words, int place) {
        try {
            return Integer.parseInt(argument(words, place));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("'" + words[place] + "' is not an integer", e);
        }
    }

    /** Resolves a party name, a comma-separated list of names, or a keyword for a set of parties. */
    private List<String> resolveNames(String word) {
        return switch (word) {
            case "members" -> rig.processNames("n");
            case "voters" -> rig.processNames("v");
            case "servers" -> List.copyOf(rig.servers().keySet());
            case "group" -> {
                List<String> all = new ArrayList<>(rig.processNames("n"));
                all.addAll(rig.processNames("v"));
                yield all;
            }
            default -> List.of(word.split(","));
        };
    }

    private void forEachDirection(String[] words, BiConsumer<String, String> action) throws InterruptedException {
        rig.onLoop(() -> {
            for (String one : resolveNames(argument(words, 1))) {
                for (String other : resolveNames(argument(words, 2))) {
                    if (!one.equals(other)) {
                        action.accept(one, other);
                    }
                }
            }
        });
    }

    private void start(String name) throws InterruptedException {
        int from = history.size();
        rig.process(name).start();
        if (name.startsWith("n")) {
            rig.awaitLog(name, "serves on", from);
            rig.onLoop(() -> rig.clients().connect(name));
        } else {
            rig.awaitLog(name, "votes for members", from);
        }
    }

    private void resume(String name) throws InterruptedException {
        stoppedProcesses.remove(name);
        rig.process(name).resume();
    }

    private void requestCalls(int count, String controller) throws InterruptedException {
        for (int polls = 0; !rig.callOnLoop(() -> tryRequestCalls(count, controller)); polls++) {
            if (polls * POLL_INTERVAL_MILLIS > TIMEOUT_MILLIS) {
                throw new IllegalStateException("clients can't connect to " + controller);
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);   // its connection was closed as idle and is being reopened
        }
    }

    private boolean tryRequestCalls(int count, String controller) {
        for (int i = 0; i < count && rig.clients().isConnected(controller); i++) {
            rig.clients().requestCall(controller, i % rig.servers().size(), CALL_CLASS, REQUEST_DEADLINE);
        }
        return rig.clients().isConnected(controller);
    }

    /** Requests calls until this many more are established; refused ones are requested again. */
    private void establish(int count, String controller) throws InterruptedException {
        int wanted = rig.callOnLoop(() -> rig.clients().established().size()) + count;
        for (int polls = 0; polls * POLL_INTERVAL_MILLIS < TIMEOUT_MILLIS; polls++) {
            int missing =
                    rig.callOnLoop(() -> wanted - rig.clients().established().size() - rig.clients().pendingRequests());
            if (missing > 0) {
                requestCalls(Math.min(missing, MAX_REQUESTS_PER_POLL), controller);
            } else if (rig.callOnLoop(() -> rig.clients().established().size()) == wanted) {
                return;
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        throw new IllegalStateException("the calls are not established: " + describeRemainingCalls());
    }

    private void repeatBroken(String controller) throws InterruptedException {
        requestCalls(0, controller);
        rig.onLoop(() -> brokenRequests()
                .forEach(call -> rig.clients().repeat(call, controller, CALL_CLASS, REQUEST_DEADLINE)));
    }

    private Set<String> brokenRequests() {
        Set<String> broken = new HashSet<>();
        history.events().stream().filter(event -> event.kind() == EventKind.BROKEN)
                .forEach(event -> broken.add(event.call()));
        return broken;
    }

    private void releaseCalls(int count, String controller) throws InterruptedException {
        rig.onLoop(() -> {
            // Skips calls that their server has already ended: the release and the end would cross on the way.
            List<String> established = rig.clients().established().stream().filter(call -> rig.servers().values().stream()
                    .anyMatch(server -> server.established().contains(call))).limit(count).toList();
            if (established.size() < count) {
                throw new IllegalStateException("only " + established.size() + " calls are established");
            }
            established.forEach(call -> rig.clients().release(call, controller));
        });
    }

    private void endCalls(int count, String server) throws InterruptedException {
        SimulatedServer target = rig.servers().get(server);
        if (target == null) {
            throw new IllegalArgumentException(
                    "'" + server + "' is not a known server; known servers: " + rig.servers().keySet());
        }
        rig.onLoop(() -> {
            Set<String> known = rig.clients().established();
            List<String> established = target.established().stream().filter(known::contains).limit(count).toList();
            if (established.size() < count) {
                throw new IllegalStateException("only " + established.size() + " calls are established at " + server);
            }
            established.forEach(target::end);
        });
    }

    private void serverAction(String name, String action) throws InterruptedException {
        SimulatedServer target = rig.servers().get(name);
        rig.onLoop(() -> {
            switch (action) {
                case "silent" -> target.setAnswering(false);
                case "answers" -> target.setAnswering(true);
                case "dies" -> target.crash();
                case "begins" -> target.start();
                case "gone" -> rig.serverGone(name);
                default -> throw new IllegalArgumentException("'" + action + "' is not a known server action");
            }
        });
    }

    // ---- await and expect

    private void await(String[] words, String line) throws InterruptedException {
        switch (argument(words, 1)) {
            case "log" -> {
                String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                Set<String> processes = new HashSet<>(resolveNames(argument(words, 2)));
                history.await("'" + text + "' in the log of " + processes, searchFrom, 1, TIMEOUT_MILLIS,
                        event -> event.kind() == EventKind.LOGGED && processes.contains(event.party())
                                && event.text().contains(text));
            }
            case "covered" -> {
                String name = argument(words, 2);
                int records = intArgument(words, 3);
                history.await(records + " covered calls of " + name, searchFrom, 1, TIMEOUT_MILLIS, event -> {
                    Matcher matcher = REPLICATED_RECORDS.matcher(event.text());
                    return event.kind() == EventKind.LOGGED && event.party().equals(name) && matcher.find()
                            && Integer.parseInt(matcher.group(1)) == records;
                });
            }
            case "taken-over" -> {
                int calls = intArgument(words, 2);
                Map<String, Integer> adoptedByController = new HashMap<>();
                history.await(calls + " calls adopted", 0, 1, TIMEOUT_MILLIS,
                        event -> adoptedCalls(adoptedByController, event) >= calls);
            }
            case "end" -> rig.process(argument(words, 2)).awaitExit();
            default -> {
                int count = intArgument(words, 1);
                history.await(count + " " + words[2], 0, count, TIMEOUT_MILLIS, countedEvents(words, 2));
            }
        }
    }

    private static int adoptedCalls(Map<String, Integer> adoptedByController, History.Event event) {
        Matcher matcher = ADOPTED_CALLS.matcher(event.text());
        if (event.kind() == EventKind.LOGGED && matcher.find()) {
            adoptedByController.put(event.party(), Integer.parseInt(matcher.group(1)));
        }
        return adoptedByController.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Parses the events to count, such as {@code heard} or {@code heard at s1}. */
    private Predicate<History.Event> countedEvents(String[] words, int place) {
        EventKind kind = COUNTABLE_EVENTS.get(argument(words, place));
        if (kind == null) {
            throw new IllegalArgumentException("'" + words[place] + "' is not a known event; known events: "
                    + COUNTABLE_EVENTS.keySet().stream().sorted().toList());
        }
        Set<String> parties = words.length > place + 2 ? new HashSet<>(resolveNames(words[place + 2])) : Set.of();
        return event -> event.kind() == kind
                && (parties.isEmpty() || parties.contains(event.party()) || parties.contains(event.peer()));
    }

    private void expect(String[] words) {
        switch (argument(words, 1)) {
            case "once" -> {
                EventKind kind = COUNTABLE_EVENTS.get(argument(words, 2));
                Set<String> seen = new HashSet<>();
                history.events().stream().filter(event -> event.kind() == kind && !seen.add(event.call())).findFirst()
                        .ifPresent(event -> {
                            throw new IllegalStateException("call " + event.call() + " was " + words[2] + " twice");
                        });
            }
            case "taken-over" -> {
                Map<String, Integer> adoptedByController = new HashMap<>();
                history.events().forEach(event -> adoptedCalls(adoptedByController, event));
                int sum = adoptedByController.values().stream().mapToInt(Integer::intValue).sum();
                if (sum != intArgument(words, 2)) {
                    throw new IllegalStateException(String.format(Locale.ROOT, "%d calls were adopted, not %s: %s", sum,
                            words[2], adoptedByController));
                }
            }
            default -> {
                int expected = intArgument(words, 1);
                long count = history.events().stream().filter(countedEvents(words, 2)).count();
                if (count != expected) {
                    throw new IllegalStateException(count + " were " + words[2] + ", not " + expected);
                }
            }
        }
    }
}
