package pathlane.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class UpdateEncoderTest {

    @Test
    void theCacheIsBoundedAndEvictsTheLeastRecentlyUsed() {
        Catalogue catalogue = new Catalogue(10);
        PublisherMetrics metrics = new PublisherMetrics();
        UpdateEncoder encoder = new UpdateEncoder(catalogue, metrics, 3_500);
        catalogue.beginEpoch(1);
        for (int i = 0; i < 10; i++) {
            catalogue.replace("s" + i, List.of(), "x".repeat(1_000));
            encoder.change("s" + i, HeldVersion.NOTHING);
            encoder.change("s0", HeldVersion.NOTHING);
            assertTrue(encoder.cachedBytes() <= 3_500, encoder.cachedBytes() + " bytes");
        }
        assertEquals(10, metrics.snapshotsEncoded, "s0 is used continually and stays cached");
        encoder.change("s1", HeldVersion.NOTHING);
        assertEquals(11, metrics.snapshotsEncoded);
        for (int i = 0; i < 10; i++) {
            encoder.invalidate("s" + i);
        }
        assertEquals(0, encoder.cachedBytes());
    }
}
