package pathlane.lab.capacity;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** The measurements of one quantity, by size. Immutable. */
public final class Series {

    /** Sizes closer than this part are the same. */
    private static final double SAME = 0.01;

    private final String name;
    private final List<Measurement> rows;
    private final TreeMap<Double, Double> means;

    /** {@code rows} must not be empty. */
    public Series(String name, List<Measurement> rows) {
        if (rows.isEmpty()) {
            throw new IllegalArgumentException(name + " has no rows");
        }
        this.name = name;
        this.rows = List.copyOf(rows);
        this.means = rows.stream().collect(Collectors.groupingBy(Measurement::size, TreeMap::new,
                Collectors.averagingDouble(Measurement::figure)));
    }

    public String name() {
        return name;
    }

    public List<Measurement> rows() {
        return rows;
    }

    public int sizes() {
        return means.size();
    }

    public LinearFit fit() {
        return LinearFit.of(rows);
    }

    /** Mean over the repetitions, by size. */
    public Map<Double, Double> means() {
        return new TreeMap<>(means);
    }

    /** The figure at a size: the mean there, a line between its neighbours, or the fit beyond all sizes. */
    public Estimate at(double size) {
        Map.Entry<Double, Double> below = means.floorEntry(size);
        Map.Entry<Double, Double> above = means.ceilingEntry(size);
        if (below != null && size - below.getKey() <= SAME * size) {
            return estimate(below.getValue(), Evidence.MEASURED);
        }
        if (above != null && above.getKey() - size <= SAME * size) {
            return estimate(above.getValue(), Evidence.MEASURED);
        }
        if (below != null && above != null) {
            double part = (size - below.getKey()) / (above.getKey() - below.getKey());
            return estimate(below.getValue() + part * (above.getValue() - below.getValue()), Evidence.INTERPOLATED);
        }
        return estimate(sizes() < 2 ? means.firstEntry().getValue() : fit().at(size), Evidence.EXTRAPOLATED);
    }

    /** What one more costs, by the fit. */
    public Estimate slope() {
        return estimate(fit().slope(), Evidence.EXTRAPOLATED);
    }

    private Estimate estimate(double value, Evidence evidence) {
        return Estimate.of(value, evidence, name);
    }
}
