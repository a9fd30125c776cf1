package pathlane.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SeriesTest {

    private static final double TOLERANCE = 1e-9;

    private static Measurement row(double size, int repetition, double figure) {
        return new Measurement("c", "m", size, repetition, figure);
    }

    /** On the line 10 + 2 x size, except for the repetitions at 100, which differ from it by 3. */
    private static Series series() {
        return new Series("cost-us", List.of(row(0, 1, 10), row(10, 1, 30), row(100, 1, 207), row(100, 2, 213),
                row(200, 1, 410)));
    }

    @Test
    void theFitGivesTheLineAndItsResidual() {
        LinearFit fit = series().fit();
        assertEquals(2, fit.slope(), TOLERANCE);
        assertEquals(10, fit.intercept(), TOLERANCE);
        assertEquals(Math.sqrt(2 * 9 / 3.0), fit.residual(), TOLERANCE);
        assertEquals(4, fit.sizes());
    }

    @Test
    void aMeasuredSizeGivesItsMean() {
        assertEquals(210, series().at(100).value(), TOLERANCE);
        assertEquals(Set.of(Evidence.MEASURED), series().at(100).evidence());
    }

    @Test
    void figuresAreInterpolatedBetweenSizesAndExtrapolatedBeyondThem() {
        assertEquals(20, series().at(5).value(), TOLERANCE);
        assertEquals(Set.of(Evidence.INTERPOLATED), series().at(5).evidence());
        assertEquals(2010, series().at(1000).value(), TOLERANCE);
        assertEquals(Set.of(Evidence.EXTRAPOLATED), series().at(1000).evidence());
        assertEquals(Set.of("cost-us"), series().at(1000).sources());
    }

    @Test
    void appendedRowsAreReadBack(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("cost-us.csv");
        MeasurementFile.append(file, new Measurement("abc", "8 cores, 24 GiB", 3, 1, 0.125));
        MeasurementFile.append(file, new Measurement("abc", "8 cores, 24 GiB", 26_000, 2, 1_234_567));
        assertEquals("commit,machine,size,repetition,figure\nabc,\"8 cores, 24 GiB\",3,1,0.125\n"
                + "abc,\"8 cores, 24 GiB\",26000,2,1234570\n", Files.readString(file));
        assertEquals(List.of(new Measurement("abc", "8 cores, 24 GiB", 3, 1, 0.125),
                new Measurement("abc", "8 cores, 24 GiB", 26_000, 2, 1_234_570)), MeasurementFile.read(file));
    }

    @Test
    void aSumWithAnUnknownFigureIsUnknown() {
        Estimate sum = Estimate.assumed(3).plus(new Figures(List.of(series())).at("other", 1));
        assertFalse(sum.isKnown());
        assertEquals("not measured", Markdown.number(sum));
        assertTrue(sum.sources().contains("other"));
    }
}
