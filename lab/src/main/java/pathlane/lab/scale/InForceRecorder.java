package pathlane.lab.scale;

import java.nio.ByteBuffer;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;

/** Times from a change's commit at the source until a controller has it in force, by region. On the loop's thread. */
final class InForceRecorder {

    /** Significant decimal digits of a recorded time. */
    private static final int DIGITS = 3;

    private final CommitLog commits;
    private final Histogram[] histograms;
    private final Instant[] lastInForce;

    InForceRecorder(CommitLog commits, int regions) {
        this.commits = commits;
        this.histograms = new Histogram[regions];
        this.lastInForce = new Instant[regions];
        reset();
    }

    void reset() {
        Arrays.setAll(histograms, region -> new Histogram(DIGITS));
        Arrays.fill(lastInForce, Instant.EPOCH);
    }

    /** Everything of one service after {@code held}, up to {@code number}, is in force at a controller of this region now. */
    void inForce(int region, long held, long number, Instant now) {
        commits.ages(held, number, now, histograms[region]::recordValue);
        lastInForce[region] = now;
    }

    List<ControlMessage.RegionFigures> figures() {
        List<ControlMessage.RegionFigures> figures = new ArrayList<>();
        for (int region = 0; region < histograms.length; region++) {
            figures.add(new ControlMessage.RegionFigures(text(histograms[region]),
                    ChronoUnit.MICROS.between(Instant.EPOCH, lastInForce[region])));
        }
        return figures;
    }

    private static String text(Histogram histogram) {
        ByteBuffer bytes = ByteBuffer.allocate(histogram.getNeededByteBufferCapacity());
        int size = histogram.encodeIntoCompressedByteBuffer(bytes);
        return Base64.getEncoder().encodeToString(Arrays.copyOf(bytes.array(), size));
    }

    /** The histogram that {@link #figures} wrote. */
    static Histogram histogram(String text) {
        try {
            return Histogram.decodeFromCompressedByteBuffer(ByteBuffer.wrap(Base64.getDecoder().decode(text)), 0);
        } catch (DataFormatException e) {
            throw new IllegalArgumentException("not a histogram", e);
        }
    }

    /** An empty histogram of the same precision. */
    static Histogram empty() {
        return new Histogram(DIGITS);
    }
}
