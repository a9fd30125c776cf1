package pathlane.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pathlane.lab.capacity.MeasurementFile;
import pathlane.lab.capacity.MeasurementOrigin;

class ScaleTest {

    private static final Path PLAN = Path.of("scale/test.toml");

    @TempDir
    Path folder;

    /** Real processes; each day ends with its last change in force everywhere, and none is judged by its time. */
    @Test
    void everyDayOfASmallFleetEndsWithAllDigestsEqual() throws Exception {
        ScaleRun.Result result = new ScaleRun(PLAN, Path.of("..").toRealPath(),
                Files.createDirectory(folder.resolve("run"))).play();

        assertEquals(Arrays.asList(Day.HUNDREDFOLD, Day.ORDINARY, Day.ZONE_LOST, Day.ZONE_BACK, Day.ROLLING_RELEASE,
                Day.RELAY_KILLED, Day.REGION_CUT, Day.ALL_RECONNECT), result.days().stream().map(DayResult::day).toList());
        for (DayResult day : result.days()) {
            assertEquals(List.of(), day.verdict().examples(), day.day().title());
            assertEquals(watchedServices(result.plan()), day.verdict().equal(), day.day().title());
            assertTrue(day.inForce().getTotalCount() > 0, day.day().title());
            assertEquals(0, day.watches().gaps(), day.day().title());
        }
        long connections = result.days().get(result.days().size() - 1).watches().connections();
        assertTrue(connections >= result.plan().fleet().controllers(), connections + " connections");
        assertTheReportAndItsFilesAreWritten(result);
    }

    private static long watchedServices(ScalePlan plan) {
        FleetLayout layout = new FleetLayout(plan.fleet());
        return IntStream.range(0, plan.fleet().controllers()).mapToLong(number -> layout.watchedBy(number).size()).sum();
    }

    private void assertTheReportAndItsFilesAreWritten(ScaleRun.Result result) throws IOException {
        MeasurementOrigin origin = new MeasurementOrigin("abc", "a machine");
        FigureFiles files = new FigureFiles(folder, origin, 1);
        files.write(result);
        assertEquals(240, MeasurementFile.read(folder.resolve("zone-in-force-max-ms.csv")).get(0).size());
        assertEquals(3, MeasurementFile.read(folder.resolve("relay-cpu-percent.csv")).size());
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        new ScaleReport(new PrintStream(text, true, StandardCharsets.UTF_8), result, origin, files).print();
        assertTrue(text.toString(StandardCharsets.UTF_8).contains("| all reconnecting at once | hollow | 239 |"),
                text.toString(StandardCharsets.UTF_8));
    }

    @Test
    void aFleetsServicesAddUpToItsServersAndAreTheSameInEachProcess() {
        ScalePlan.Fleet fleet = ScaleFile.read(Path.of("scale/26000.toml")).fleet();
        FleetLayout layout = new FleetLayout(fleet);
        Set<Integer> servers = new HashSet<>();
        for (int service = 0; service < layout.services(); service++) {
            assertTrue(layout.size(service) >= 1);
            layout.serversOf(service).forEach(servers::add);
        }
        assertEquals(26_000, servers.size());
        FleetLayout again = new FleetLayout(fleet);
        for (int controller = 0; controller < fleet.controllers(); controller += 1_000) {
            assertEquals(layout.watchedBy(controller), again.watchedBy(controller));
            assertEquals(fleet.calls(), new HashSet<>(layout.watchedBy(controller)).size());
            assertTrue(layout.serversOf(layout.serviceOf(controller)).boxed().toList().contains(controller));
        }
    }

    @Test
    void aCoalescedChangeCountsForEachChangeThatItStandsFor() {
        CommitLog log = CommitLog.create(folder.resolve("commits"));
        Instant start = Instant.ofEpochSecond(1_000);
        log.record(1, 0, start);
        log.record(2, 0, start.plusMillis(1));   // another service's
        log.record(3, 1, start.plusMillis(2));
        log.record(4, 3, start.plusMillis(3));
        List<Long> ages = new ArrayList<>();
        CommitLog.open(folder.resolve("commits")).ages(1, 4, start.plusMillis(5), ages::add);
        assertEquals(List.of(2_000L, 3_000L), ages);
    }

    @Test
    void aPlanThatCannotBeUsedIsToldInOneSentence() throws IOException {
        String plan = Files.readString(PLAN);
        assertUnusable(plan.replace("controllers = 240", "controlers = 240"), "'fleet.controllers' is null");
        assertUnusable(plan.replace("[zone-lost]", "[zone-list]"), "'zone-list' is no key");
        assertUnusable(plan.replace("services = 60", "services = 600"), "more than there are controllers");
        assertUnusable(plan.replace("seed = 1", "seed = 1\nseeds = 2"), "'fleet.seeds' is no key");
        assertUnusable(plan.replace("hollow = 2", "hollow = 0"), "not a whole number from 1 to 100");
    }

    private void assertUnusable(String plan, String why) throws IOException {
        Path file = folder.resolve("plan.toml");
        Files.writeString(file, plan);
        String message = assertThrows(IllegalArgumentException.class, () -> ScaleFile.read(file)).getMessage();
        assertTrue(message.contains(why), message);
    }
}
