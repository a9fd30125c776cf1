package pathlane.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the model with linear series, so that each result can be computed by hand. */
class CapacityModelTest {

    private static final double TOLERANCE = 1e-6;

    private Assumptions assumptions;
    private Figures figures;

    private static Series linearSeries(String name, double intercept, double slope) {
        return new Series(name, DoubleStream.of(1, 10, 1000, 100_000)
                .mapToObj(size -> new Measurement("c", "m", size, 1, intercept + slope * size)).toList());
    }

    @BeforeEach
    void setUp() throws IOException {
        assumptions = Assumptions.read(java.nio.file.Path.of("..").resolve(CapacityCommand.FOLDER)
                .resolve("assumptions.toml")).with("header-bytes", 0).with("server-connections-most", 500);
        figures = new Figures(List.of(linearSeries("capacity-report-messages-per-second-by-connections", 0, 1),
                linearSeries("capacity-report-bytes-per-second-by-connections", 0, 40),
                linearSeries("decision-time-us", 10, 1)));
    }

    private double controllerBytes(Design design, Situation situation) {
        return new CapacityModel(assumptions, figures).cost(design, Role.CONTROLLER, situation).bytes().value();
    }

    @Test
    void aBroadcastControllerReceivesEveryChangeAndEachConnectionsReports() {
        double events = (12_000 + 2 * (5_300 + 62)) / 86_400.0 * assumptions.value("peak-over-mean");
        assertEquals(500 * 40 + 13 + 40 * events, controllerBytes(Design.BROADCAST, Situation.ORDINARY), TOLERANCE);
        assertEquals(500 * 40 + 13 + 40 * (events + 26_000 / 17.0 / 7),
                controllerBytes(Design.BROADCAST, Situation.ZONE_LOST), TOLERANCE);
    }

    @Test
    void aScopedControllersCostDoesNotGrowWithAFleetOfServicesOfOneSize() {
        assumptions = assumptions.with("service-size-exponent", 0);
        double usual = controllerBytes(Design.SCOPED, Situation.ZONE_LOST);
        assumptions = assumptions.atFleet(260_000);
        assertEquals(usual, controllerBytes(Design.SCOPED, Situation.ZONE_LOST), 0.001 * usual);
    }

    @Test
    void aCostThatWasNotMeasuredIsUnknown() {
        RoleCost cost = new CapacityModel(assumptions, figures).cost(Design.BROADCAST, Role.CONTROLLER, Situation.ORDINARY);
        assertFalse(cost.cpuMillis().isKnown());
        assertTrue(cost.bytes().isKnown());
    }

    @Test
    void aBudgetIsExceededFromTheFirstSizeAboveIt() {
        Limit limit = new Limit("decision", Design.BROADCAST, "us", 360,
                at -> new CapacityModel(at, figures).decisionMicros(at.value("servers")), "one list");
        assertEquals(351, limit.exceededFrom(assumptions), 1);
        assertEquals(Double.POSITIVE_INFINITY, new Limit("decision", Design.BROADCAST, "us", 1e9, limit.cost(), "")
                .exceededFrom(assumptions));
    }

    @Test
    void allServicesTogetherHaveAllServers() {
        Assumptions few = assumptions.with("servers", 300).with("services", 3).with("service-size-exponent", 1)
                .with("caller-exponent", 0);
        ServiceSizes sizes = new ServiceSizes(few);
        double largest = 300 / (1 + 1 / 2.0 + 1 / 3.0);
        assertEquals(largest, sizes.largest(), TOLERANCE);
        assertEquals(100, sizes.meanCalled(), TOLERANCE);
        assertEquals(2 / 3.0, sizes.shareCallingMostPopular(2), TOLERANCE);
    }

    @Test
    void theSumOverManyRanksIsApproximatedClosely() {
        Assumptions many = assumptions.with("service-size-exponent", 0.8);
        double sum = IntStream.rangeClosed(1, 4_600).mapToDouble(rank -> Math.pow(rank, -0.8)).sum();
        assertEquals(26_000 / sum, new ServiceSizes(many).largest(), 0.01);
    }
}
