package pathlane.lab.capacity;

import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * The least-squares line through measured figures.
 *
 * @param slope figure for each unit of size
 * @param intercept figure at size nought
 * @param residual the regression's standard error, in the figure's unit
 * @param rSquare the part of the variance that the line explains; NaN where all figures are equal
 * @param sizes how many different sizes it rests on
 * @param smallest the smallest of them
 * @param largest the largest of them
 */
public record LinearFit(double slope, double intercept, double residual, double rSquare, int sizes, double smallest,
                        double largest) {

    /** A slope needs at least so many sizes; fewer show no shape. */
    public static final int LEAST_SIZES = 4;

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
            throw new IllegalArgumentException("a line needs two sizes, not " + sizes.length);
        }
        return new LinearFit(regression.getSlope(), regression.getIntercept(), Math.sqrt(regression.getMeanSquareError()),
                regression.getRSquare(), sizes.length, sizes[0], sizes[sizes.length - 1]);
    }

    /** The line's figure at a size; a cost is never below nought. */
    public double at(double size) {
        return Math.max(0, intercept + slope * size);
    }
}
