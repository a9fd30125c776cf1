package pathlane.lab.capacity;

/**
 * Distribution of servers over services: a service's size is proportional to its rank to the power of minus an exponent
 * (Zipf), and so is the number of controllers that call it, with a separate exponent.
 */
final class ServiceSizes {

    private static final int EXACTLY_SUMMED_RANKS = 64;
    private static final double HALF = 0.5;
    private static final double LOGARITHM_TOLERANCE = 1e-9;

    private final double servers;
    private final double services;
    private final double sizeExponent;
    private final double controllerExponent;

    ServiceSizes(Assumptions assumptions) {
        this.servers = assumptions.value("servers");
        this.services = Math.max(1, Math.round(assumptions.value("services")));
        this.sizeExponent = assumptions.value("service-size-exponent");
        this.controllerExponent = assumptions.value("caller-exponent");
    }

    /** Sums all ranks to the power of minus the exponent: the first ranks exactly, the others by an integral. */
    private double sum(double exponent) {
        double sum = 0;
        double exact = Math.min(services, EXACTLY_SUMMED_RANKS);
        for (int rank = 1; rank <= exact; rank++) {
            sum += Math.pow(rank, -exponent);
        }
        // Each further rank is approximated by the integral from half a rank below it to half a rank above.
        return services <= EXACTLY_SUMMED_RANKS ? sum
                : sum + integral(services + HALF, exponent) - integral(EXACTLY_SUMMED_RANKS + HALF, exponent);
    }

    private static double integral(double to, double exponent) {
        double power = 1 - exponent;
        return Math.abs(power) < LOGARITHM_TOLERANCE ? Math.log(to) : Math.pow(to, power) / power;
    }

    /** Number of servers of the largest service. */
    double largest() {
        return Math.max(1, servers / sum(sizeExponent));
    }

    /** Mean number of servers of a called service, over the services that controllers call. */
    double meanCalled() {
        return Math.max(1, servers * sum(sizeExponent + controllerExponent) / (sum(sizeExponent) * sum(controllerExponent)));
    }

    /** Share of all controllers that call the most popular service, if each calls this number of services. */
    double shareCallingMostPopular(double calledByEach) {
        return Math.min(1, calledByEach / sum(controllerExponent));
    }
}
