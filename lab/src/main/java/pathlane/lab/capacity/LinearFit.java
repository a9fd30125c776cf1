package pathlane.lab.capacity;

import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * The least-squares line through measured figures.
 *
 * @param slope increase of the figure per unit of size
 * @param intercept figure at size zero
 * @param residual the regression's standard error, in the figure's unit
 * @param rSquare the share of the variance that the line explains; NaN if all figures are equal
 * @param sizes number of different sizes that were measured
 * @param smallest the smallest measured size
 * @param largest the largest measured size
 */
public record LinearFit(double slope, double intercept, double residual, double rSquare, int sizes, double smallest,
        double largest) {

    /** Minimum number of sizes for a slope; fewer don't show whether the cost is linear. */
    public static final int MIN_SIZES = 4;

    /**
     * Fits a line.
     *
     * @throws IllegalArgumentException for fewer than two sizes
     */
    public static LinearFit of(List<Measurement> rows) {
        SimpleRegression regression = new SimpleRegression();
        rows.forEach(row -> regression.addData(row.size(), row.figure()));
        double[] sizes = rows.stream().mapToDouble(Measurement::size).distinct().sorted().toArray();
        if (sizes.length < 2) {
            throw new IllegalArgumentException("a linear fit needs two sizes, not " + sizes.length);
        }
        return new LinearFit(regression.getSlope(), regression.getIntercept(), Math.sqrt(regression.getMeanSquareError()),
                regression.getRSquare(), sizes.length, sizes[0], sizes[sizes.length - 1]);
    }

    /** Returns the line's figure at a size; a cost is never negative. */
    public double at(double size) {
        return Math.max(0, intercept + slope * size);
    }
}
