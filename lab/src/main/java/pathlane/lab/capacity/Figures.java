package pathlane.lab.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/** All measured series, by name. Immutable. */
public final class Figures {

    private static final String SUFFIX = ".csv";

    private final TreeMap<String, Series> byName = new TreeMap<>();

    /** Creates a collection of these series. */
    public Figures(Collection<Series> all) {
        all.forEach(series -> byName.put(series.name(), series));
    }

    /** Reads each CSV file of a folder; a series has the name of its file without the suffix. */
    public static Figures read(Path folder) throws IOException {
        Figures figures = new Figures(List.of());
        List<Path> files;
        try (Stream<Path> list = Files.list(folder)) {
            files = list.filter(file -> file.toString().endsWith(SUFFIX)).sorted().toList();
        }
        for (Path file : files) {
            String fileName = file.getFileName().toString();
            String name = fileName.substring(0, fileName.length() - SUFFIX.length());
            List<Measurement> rows = MeasurementFile.read(file);
            if (!rows.isEmpty()) {
                figures.byName.put(name, new Series(name, rows));
            }
        }
        return figures;
    }

    public Collection<Series> all() {
        return List.copyOf(byName.values());
    }

    public Optional<Series> series(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** Returns a series' figure at a size, or a missing estimate if the series was not measured. */
    public Estimate at(String name, double size) {
        return series(name).map(series -> series.at(size)).orElseGet(() -> Estimate.missing(name));
    }

    /** Returns the slope of a series' fit, or a missing estimate if fewer than two sizes were measured. */
    public Estimate slope(String name) {
        return series(name).filter(series -> series.sizes() > 1).map(Series::slope)
                .orElseGet(() -> Estimate.missing(name));
    }
}
