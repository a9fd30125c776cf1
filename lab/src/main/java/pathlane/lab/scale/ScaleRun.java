package pathlane.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import pathlane.core.ServerEndpoint;

/** One run: starts the source and all processes, plays the days, and ends everything. */
final class ScaleRun {

    /** Descriptors that a process needs beside its connections. */
    private static final int SPARE_DESCRIPTORS = 200;

    private final Path planFile;
    private final Path home;
    private final ScalePlan plan;
    private final RunFolder folder;
    private final Deadline deadline;

    /**
     * The figures of a run.
     *
     * @param largestService servers of the largest service
     * @param startSeconds from the start of the controllers, one after the other, until each had everything in force
     */
    record Result(ScalePlan plan, int largestService, double startSeconds, List<DayResult> days,
            Optional<BaselineResult> baseline) {

        /** Whether all was as at the source at the end of each day. */
        boolean isRight() {
            return days.stream().allMatch(day -> day.verdict().different() == 0);
        }
    }

    /**
     * A run that has not begun.
     *
     * @param home where the project was built
     * @param folder an empty one; the processes' files and logs are left there
     */
    ScaleRun(Path planFile, Path home, Path folder) {
        this.home = home;
        this.planFile = planFile.toAbsolutePath();
        this.plan = ScaleFile.read(planFile);
        this.folder = new RunFolder(folder.toAbsolutePath());
        this.deadline = new Deadline(Duration.ofSeconds(plan.processes().secondsAtMost()));
    }

    /**
     * Plays the run.
     *
     * @throws IllegalStateException where it does not come to its end in time, with what is missing
     */
    Result play() throws IOException, InterruptedException {
        checkDescriptors();
        FleetLayout layout = new FleetLayout(plan.fleet());
        Topology topology = Topology.create(plan, layout);
        topology.write(folder.topologyFile());
        folder.writeKeys();
        try (SourceHost source = new SourceHost(plan, layout, topology, folder);
                ProcessFleet fleet = new ProcessFleet(plan, planFile, home, folder, deadline)) {
            source.start();
            fleet.start(topology, layout);
            DayPlayer player = new DayPlayer(plan, layout, topology, source, fleet, folder, deadline);
            Duration start = player.startControllers();
            List<DayResult> days = player.play();
            Optional<BaselineResult> baseline = Optional.empty();
            if (plan.days().baseline().isPresent()) {
                List<ServerEndpoint> list = OnLoop.call(source.loop(), () -> source.catalogue().services().stream()
                        .flatMap(service -> source.catalogue().state(service).orElseThrow().endpoints().stream()).toList());
                baseline = Optional.of(new BaselineRun(plan.days().baseline().get(), list, layout, source, fleet, deadline)
                        .play());
            }
            return new Result(plan, layout.largest(), start.toNanos() / (double) Duration.ofSeconds(1).toNanos(), days,
                    baseline);
        }
    }

    /** Guards against a run that fails halfway: each process needs a descriptor for each of its connections. */
    private void checkDescriptors() throws IOException {
        int controllers = plan.fleet().controllers() / plan.processes().hollow() + 1;
        int needed = Math.max(controllers, plan.relays().subscribers()) + SPARE_DESCRIPTORS;
        long limit = Files.readAllLines(Path.of("/proc/self/limits")).stream()
                .filter(line -> line.startsWith("Max open files")).map(line -> line.split("\\s{2,}")[1])
                .mapToLong(text -> text.equals("unlimited") ? Long.MAX_VALUE : Long.parseLong(text)).findFirst()
                .orElse(Long.MAX_VALUE);
        if (needed > limit) {
            throw new IllegalArgumentException(
                    "a process of this run needs " + needed + " descriptors, and may have " + limit
                            + ": spread the controllers over more processes");
        }
    }
}
