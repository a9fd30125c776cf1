package pathlane.lab.scale;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Comparator;
import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.apache.commons.math3.stat.regression.SimpleRegression;
import pathlane.lab.capacity.LinearFit;
import pathlane.lab.capacity.MeasurementOrigin;
import pathlane.lab.scale.DayResult.ProcessCost;

/** Prints a run's figures as Markdown tables, beside the budgets. */
final class ScaleReport {

    private static final String BUDGET_IN_FORCE = "7,000";
    private static final double MILLI = 1000;

    private final PrintStream out;
    private final ScaleRun.Result result;
    private final MeasurementOrigin origin;
    private final FigureFiles files;

    ScaleReport(PrintStream out, ScaleRun.Result result, MeasurementOrigin origin, FigureFiles files) {
        this.out = out;
        this.result = result;
        this.origin = origin;
        this.files = files;
    }

    void print() throws IOException {
        heading();
        days();
        controllers();
        sameLine();
        relays();
        baseline();
        extrapolation();
    }

    private void heading() {
        ScalePlan.Fleet fleet = result.plan().fleet();
        ScalePlan.Processes processes = result.plan().processes();
        out.printf("%s%n%nCommit %s, %s; %,d controllers and session servers in %,d services (largest %,d), each controller "
                + "watches the %d that it calls; %d zones in %d regions; %d region relays, %d zone relays, %d hollow "
                + "processes, %d single ones. All had everything in force %.1f s after the start.%n%n",
                result.plan().title(), origin.commit(), origin.machine(), fleet.controllers(), fleet.services(),
                result.largestService(), fleet.calls(), fleet.zones(), fleet.regions(), result.plan().relays().inRegions(),
                result.plan().relays().inZones(), processes.hollow(), processes.single(), result.startSeconds());
    }

    private void days() {
        out.println("| day | seconds | changes | in force at each controller, ms: p50, p99, last (count) "
                + "| at the root, everywhere, ms: p50, p99, last (count) | snapshots, deltas | refused, gaps, withheld "
                + "| equal, wrong | note |");
        out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        out.printf("| budget | | | %s for the last | %s for the last | | | 0 wrong | |%n", BUDGET_IN_FORCE, BUDGET_IN_FORCE);
        for (DayResult day : result.days()) {
            ControlMessage.WatchFigures watches = day.watches();
            out.printf("| %s | %.0f | %,d | %.0f, %.0f, %.0f (%,d) | %.0f, %.0f, %.0f (%,d) | %,d, %,d | %,d, %,d, %,d "
                    + "| %,d, %,d | %s |%n", day.day().title(), day.seconds(), day.revisions(),
                    day.inForce().getValueAtPercentile(50) / MILLI, day.inForce().getValueAtPercentile(99) / MILLI,
                    day.inForce().getMaxValue() / MILLI, day.inForce().getTotalCount(), day.root().p50Millis(),
                    day.root().p99Millis(), day.root().maxMillis(), day.root().revisions(), watches.snapshots(),
                    watches.deltas(), watches.refused(), watches.gaps(), watches.withheld(), day.verdict().equal(),
                    day.verdict().different(), note(day));
        }
        out.println();
    }

    private static String note(DayResult day) {
        return day.verdict().examples().isEmpty() ? day.note() : day.note() + " " + String.join("; ", day.verdict().examples());
    }

    private void controllers() {
        out.println("| day | kind | controllers | servers in a list | bytes a second | % of a core | MB |");
        out.println("| --- | --- | --- | --- | --- | --- | --- |");
        out.println("| budget | | | | 8,192 | 3.8 | 32 |");
        for (DayResult day : result.days()) {
            controller(day.day().title(), "hollow", day.hollow());
            if (day.single().controllers() > 0) {
                controller(day.day().title(), "single", day.single());
            }
        }
        out.println();
    }

    private void controller(String day, String kind, DayResult.ControllerCost cost) {
        out.printf("| %s | %s | %,d | %.1f | %.1f | %.4f | %s |%n", day, kind, cost.controllers(), cost.meanEndpoints(),
                cost.bytesPerSecond(), cost.cpuPercent(),
                Double.isNaN(cost.memoryMegabytes()) ? "-" : String.format("%.3f", cost.memoryMegabytes()));
    }

    /** Whether a controller in a process of its own costs what the line through the hollow processes says for one. */
    private void sameLine() {
        Optional<DayResult> ordinary = result.days().stream().filter(day -> day.day() == Day.ORDINARY).findFirst();
        if (ordinary.isEmpty() || ordinary.get().single().controllers() == 0) {
            return;
        }
        out.println("| ordinary day, a process's | for each controller, by the line through the hollow processes | of the process "
                + "itself | the line at one controller | single processes, mean (least to most) |");
        out.println("| --- | --- | --- | --- | --- |");
        line("bytes a second", ordinary.get(), ProcessCost::bytesPerSecond);
        line("% of a core", ordinary.get(), ProcessCost::cpuPercent);
        line("MB", ordinary.get(), ProcessCost::memoryMegabytes);
        out.println();
    }

    private void line(String title, DayResult day, ToDoubleFunction<ProcessCost> figure) {
        SimpleRegression line = new SimpleRegression();
        day.processes().stream().filter(process -> process.controllers() > 1)
                .forEach(process -> line.addData(process.controllers(), figure.applyAsDouble(process.cost())));
        DoubleSummaryStatistics single = day.processes().stream().filter(process -> process.controllers() == 1)
                .mapToDouble(process -> figure.applyAsDouble(process.cost())).summaryStatistics();
        out.printf("| %s | %.4g | %.4g | %.4g | %.4g (%.4g to %.4g) |%n", title, line.getSlope(), line.getIntercept(),
                line.predict(1), single.getAverage(), single.getMin(), single.getMax());
    }

    private void relays() {
        out.println("| day | tier | relays | subscribers each | bytes a second each: mean, most | % of a core each: mean, most "
                + "| MB each: mean, most |");
        out.println("| --- | --- | --- | --- | --- | --- | --- |");
        for (DayResult day : result.days()) {
            tier(day.day().title(), "zone", day.zoneRelays());
            tier(day.day().title(), "region", day.regionRelays());
            tier(day.day().title(), "source, with this run",
                    List.of(new DayResult.RelayCost(result.plan().relays().inRegions(), day.source())));
        }
        out.println();
    }

    private void tier(String day, String name, List<DayResult.RelayCost> relays) {
        out.printf("| %s | %s | %d | %s | %s | %s | %s |%n", day, name, relays.size(),
                meanAndMost(relays, DayResult.RelayCost::subscribers, "%,.0f"),
                meanAndMost(relays, relay -> relay.cost().bytesPerSecond(), "%,.0f"),
                meanAndMost(relays, relay -> relay.cost().cpuPercent(), "%.1f"),
                meanAndMost(relays, relay -> relay.cost().memoryMegabytes(), "%.0f"));
    }

    private static String meanAndMost(List<DayResult.RelayCost> relays, ToDoubleFunction<DayResult.RelayCost> figure,
                                      String format) {
        double mean = relays.stream().mapToDouble(figure).average().orElse(0);
        double most = relays.stream().map(figure::applyAsDouble).max(Comparator.naturalOrder()).orElse(0.0);
        return String.format(format + ", " + format, mean, most);
    }

    private void baseline() {
        if (result.baseline().isEmpty()) {
            return;
        }
        BaselineResult baseline = result.baseline().get();
        out.println("| baseline: the whole list to each | controllers | servers in a list | bytes a second | % of a core | MB |");
        out.println("| --- | --- | --- | --- | --- | --- |");
        out.printf("| %,d changes%s | %,d | %,d | %.1f | %.4f | %.3f |%n%n", baseline.changes(),
                baseline.wholeListRefused() ? String.format("; the list as one event of %,d bytes is refused (%,d at most), and "
                        + "was told in several", baseline.wholeListBytes(), WholeListBus.LONGEST_EVENT) : "",
                baseline.cost().controllers(), baseline.servers(), baseline.cost().bytesPerSecond(),
                baseline.cost().cpuPercent(), baseline.cost().memoryMegabytes());
    }

    private void extrapolation() throws IOException {
        int controllers = result.plan().fleet().controllers();
        out.println("| day, quantity | the line from smaller fleets says | measured |");
        out.println("| --- | --- | --- |");
        for (DayResult day : result.days()) {
            for (FigureFiles.Quantity quantity : FigureFiles.Quantity.values()) {
                Optional<LinearFit> line = files.lineBelow(day.day(), quantity, controllers);
                if (line.isPresent() && !Double.isNaN(quantity.of(day))) {
                    out.printf("| %s, %s | %.4g (%d sizes from %.0f to %.0f, residual %.3g) | %.4g |%n", day.day().title(),
                            quantity.title(), line.get().at(controllers), line.get().sizes(), line.get().smallest(),
                            line.get().largest(), line.get().residual(), quantity.of(day));
                }
            }
        }
    }
}
