package pathlane.lab.capacity;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** The measurements of one quantity, by size. Immutable. */
public final class Series {

    /** Sizes whose relative difference is at most this are considered equal. */
    private static final double SAME_RELATIVE_DIFFERENCE = 0.01;

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

    /** Returns the mean over the repetitions, by size. */
    public Map<Double, Double> means() {
        return new TreeMap<>(means);
    }

    /** Returns the mean at a measured size, else interpolates between its neighbours or extrapolates by the fit. */
    public Estimate at(double size) {
        Map.Entry<Double, Double> below = means.floorEntry(size);
        Map.Entry<Double, Double> above = means.ceilingEntry(size);
        if (below != null && size - below.getKey() <= SAME_RELATIVE_DIFFERENCE * size) {
            return estimate(below.getValue(), Evidence.MEASURED);
        }
        if (above != null && above.getKey() - size <= SAME_RELATIVE_DIFFERENCE * size) {
            return estimate(above.getValue(), Evidence.MEASURED);
        }
        if (below != null && above != null) {
            double share = (size - below.getKey()) / (above.getKey() - below.getKey());
            return estimate(below.getValue() + share * (above.getValue() - below.getValue()), Evidence.INTERPOLATED);
        }
        return estimate(sizes() < 2 ? means.firstEntry().getValue() : fit().at(size), Evidence.EXTRAPOLATED);
    }

    /** Returns the fit's increase per unit of size. */
    public Estimate slope() {
        return estimate(fit().slope(), Evidence.EXTRAPOLATED);
    }

    private Estimate estimate(double value, Evidence evidence) {
        return Estimate.of(value, evidence, name);
    }
}
