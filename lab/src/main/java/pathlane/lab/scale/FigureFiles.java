package pathlane.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import pathlane.lab.capacity.LinearFit;
import pathlane.lab.capacity.Measurement;
import pathlane.lab.capacity.MeasurementFile;
import pathlane.lab.capacity.MeasurementOrigin;

/** Writes a run's figures to CSV files, one for each quantity and day, by controllers or by a relay's subscribers. */
final class FigureFiles {

    private static final double MILLI = 1000;
    private static final double P50 = 50;
    private static final double P99 = 99;

    /** A quantity of a day that is measured against the number of controllers. */
    enum Quantity {
        IN_FORCE_P50("in-force-p50-ms", "in force, p50, ms", day -> millis(day, P50)),
        IN_FORCE_P99("in-force-p99-ms", "in force, p99, ms", day -> millis(day, P99)),
        IN_FORCE_MAX("in-force-max-ms", "in force, last, ms", day -> day.inForce().getMaxValue() / MILLI),
        CONTROLLER_BYTES("controller-bytes-per-second", "bytes a second a controller", day -> day.hollow().bytesPerSecond()),
        CONTROLLER_CPU("controller-cpu-percent", "% of a core a controller", day -> day.hollow().cpuPercent()),
        CONTROLLER_MEMORY("controller-memory-mb", "MB a controller", day -> day.hollow().memoryMegabytes());

        private final String file;
        private final String title;
        private final ToDoubleFunction<DayResult> figure;

        Quantity(String file, String title, ToDoubleFunction<DayResult> figure) {
            this.file = file;
            this.title = title;
            this.figure = figure;
        }

        /** As a table names it. */
        String title() {
            return title;
        }

        double of(DayResult day) {
            return figure.applyAsDouble(day);
        }
    }

    private final Path folder;
    private final MeasurementOrigin origin;
    private final int repetition;

    /** {@code repetition} tells runs of the same commit and size apart, from 1. */
    FigureFiles(Path folder, MeasurementOrigin origin, int repetition) {
        this.folder = folder;
        this.origin = origin;
        this.repetition = repetition;
    }

    private static double millis(DayResult day, double percentile) {
        return day.inForce().getValueAtPercentile(percentile) / MILLI;
    }

    private static String fileName(Day day, String quantity) {
        return day.filePrefix() + quantity + ".csv";
    }

    /** Appends all figures of a run. */
    void write(ScaleRun.Result result) throws IOException {
        for (DayResult day : result.days()) {
            for (Quantity quantity : Quantity.values()) {
                append(day.day(), quantity.file, result.plan().fleet().controllers(), repetition, quantity.of(day));
            }
            writeRelays(day);
        }
    }

    /** One row for each relay; the repetition counts the relays, and the runs before by as many. */
    private void writeRelays(DayResult day) throws IOException {
        List<DayResult.RelayCost> relays = day.zoneRelays();
        int row = (repetition - 1) * relays.size();
        for (DayResult.RelayCost relay : relays) {
            row++;
            append(day.day(), "relay-bytes-per-second", relay.subscribers(), row, relay.cost().bytesPerSecond());
            append(day.day(), "relay-cpu-percent", relay.subscribers(), row, relay.cost().cpuPercent());
            append(day.day(), "relay-memory-mb", relay.subscribers(), row, relay.cost().memoryMegabytes());
        }
    }

    private void append(Day day, String quantity, double size, int row, double figure) throws IOException {
        if (!Double.isNaN(figure)) {
            MeasurementFile.append(folder.resolve(fileName(day, quantity)),
                    new Measurement(origin.commit(), origin.machine(), size, row, figure));
        }
    }

    /** The line through the figures of all smaller fleets of the same commit; empty where there are not two sizes of them. */
    Optional<LinearFit> lineBelow(Day day, Quantity quantity, int controllers) throws IOException {
        Path file = folder.resolve(fileName(day, quantity.file));
        if (Files.notExists(file)) {
            return Optional.empty();
        }
        List<Measurement> smaller = new ArrayList<>(MeasurementFile.read(file));
        smaller.removeIf(row -> !row.commit().equals(origin.commit()) || row.size() >= controllers);
        return smaller.stream().mapToDouble(Measurement::size).distinct().count() < 2 ? Optional.empty()
                : Optional.of(LinearFit.of(smaller));
    }
}
