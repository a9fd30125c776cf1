package pathlane.lab.capacity;

/**
 * How servers are spread over services: a service's size goes by its rank to the power of minus an exponent (Zipf), and so
 * does the number of controllers that call it, by an exponent of its own.
 */
final class ServiceSizes {

    private static final int SUMMED = 64;
    private static final double HALF = 0.5;
    private static final double NEARLY_ONE = 1e-9;

    private final double servers;
    private final double services;
    private final double sizeExponent;
    private final double callerExponent;

    ServiceSizes(Assumptions assumptions) {
        this.servers = assumptions.value("servers");
        this.services = Math.max(1, Math.round(assumptions.value("services")));
        this.sizeExponent = assumptions.value("service-size-exponent");
        this.callerExponent = assumptions.value("caller-exponent");
    }

    /** The sum of all ranks to the power of minus this: the first by themselves, the others by their integral. */
    private double sum(double exponent) {
        double sum = 0;
        double exact = Math.min(services, SUMMED);
        for (int rank = 1; rank <= exact; rank++) {
            sum += Math.pow(rank, -exponent);
        }
        // Each rank beyond is the integral from half a rank below it to half a rank above.
        return services <= SUMMED ? sum : sum + integral(services + HALF, exponent) - integral(SUMMED + HALF, exponent);
    }

    private static double integral(double to, double exponent) {
        double power = 1 - exponent;
        return Math.abs(power) < NEARLY_ONE ? Math.log(to) : Math.pow(to, power) / power;
    }

    /** Servers of the largest service. */
    double largest() {
        return Math.max(1, servers / sum(sizeExponent));
    }

    /** Servers of a service that a controller calls, as a mean over what controllers call. */
    double meanCalled() {
        return Math.max(1, servers * sum(sizeExponent + callerExponent) / (sum(sizeExponent) * sum(callerExponent)));
    }

    /** The part of all controllers that call the most popular service, where each calls so many. */
    double mostPopular(double calledByEach) {
        return Math.min(1, calledByEach / sum(callerExponent));
    }
}
