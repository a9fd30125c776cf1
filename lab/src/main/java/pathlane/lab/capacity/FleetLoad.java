package pathlane.lab.capacity;

/**
 * What happens to the whole fleet in a second of a situation, out of the assumptions alone. What comes at once is spread
 * over the time within which it must be in force everywhere.
 *
 * @param serverEvents changes of single servers, a second
 * @param configChanges changes of a service's configuration, a second
 * @param reconnects controllers that reconnect, a second
 * @param fromAnew whether those have lost what they had, and not just their connection
 * @param missedSeconds how long those had been away
 */
record FleetLoad(double serverEvents, double configChanges, double reconnects, boolean fromAnew, double missedSeconds) {

    private static final double SECONDS_IN_DAY = 86_400;
    /** A server that goes and comes back, or is replaced, is told twice. */
    private static final double EVENTS_OF_RESTART = 2;
    /** Whoever merely lost its connection was away for a moment. */
    private static final double MOMENT = 1;

    static FleetLoad of(Situation situation, Assumptions assumptions) {
        double servers = assumptions.value("servers");
        double window = assumptions.value("in-force-seconds");
        double releaseSeconds = assumptions.value("release-seconds");
        double restarts = assumptions.value("restarts-per-day") + assumptions.value("failures-per-day");
        double peak = assumptions.value("peak-over-mean") / SECONDS_IN_DAY;
        FleetLoad usual = new FleetLoad(restarts * EVENTS_OF_RESTART * peak,
                assumptions.value("config-changes-per-day") * peak, restarts * peak, true, MOMENT);
        return switch (situation) {
            case ORDINARY -> usual;
            case ZONE_LOST -> usual.withEvents(servers / assumptions.value("zones") / window);
            case RACK_LOST -> usual.withEvents(Math.min(servers, assumptions.value("servers-per-rack")) / window);
            case ROLLING_RELEASE -> usual.withEvents(servers * EVENTS_OF_RESTART / releaseSeconds)
                    .withReconnects(servers / releaseSeconds, true, MOMENT);
            case RELAY_LOST -> usual.withReconnects(servers / assumptions.value("zone-relays") / window, false, MOMENT);
            case REGION_BACK -> usual.withReconnects(servers / assumptions.value("regions") / window, false,
                    assumptions.value("region-cut-seconds"));
            case ALL_RECONNECT -> usual.withReconnects(servers / window, true, MOMENT);
        };
    }

    private FleetLoad withEvents(double more) {
        return new FleetLoad(serverEvents + more, configChanges, reconnects, fromAnew, missedSeconds);
    }

    private FleetLoad withReconnects(double perSecond, boolean anew, double missed) {
        return new FleetLoad(serverEvents, configChanges, perSecond, anew, missed);
    }

    /** Changes of either kind, a second. */
    double changes() {
        return serverEvents + configChanges;
    }
}
