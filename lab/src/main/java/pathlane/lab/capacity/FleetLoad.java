package pathlane.lab.capacity;

/**
 * Events in the complete fleet in one second of a situation, computed from the assumptions alone. A burst is spread over the
 * time within which it must be in force everywhere.
 *
 * @param serverEvents changes of single servers per second
 * @param configChanges changes of a service's configuration per second
 * @param reconnects controllers that reconnect per second
 * @param withoutState whether these have lost their state, and not only their connection
 * @param missedSeconds how long these had been disconnected
 */
record FleetLoad(double serverEvents, double configChanges, double reconnects, boolean withoutState, double missedSeconds) {

    private static final double SECONDS_IN_DAY = 86_400;
    /** A server that restarts or is replaced causes two events. */
    private static final double EVENTS_PER_RESTART = 2;
    /** Seconds that a controller misses if it only lost its connection. */
    private static final double RECONNECT_SECONDS = 1;

    static FleetLoad of(Situation situation, Assumptions assumptions) {
        double servers = assumptions.value("servers");
        double window = assumptions.value("in-force-seconds");
        double releaseSeconds = assumptions.value("release-seconds");
        double restarts = assumptions.value("restarts-per-day") + assumptions.value("failures-per-day");
        double peak = assumptions.value("peak-over-mean") / SECONDS_IN_DAY;
        FleetLoad usual = new FleetLoad(restarts * EVENTS_PER_RESTART * peak,
                assumptions.value("config-changes-per-day") * peak, restarts * peak, true, RECONNECT_SECONDS);
        return switch (situation) {
            case ORDINARY -> usual;
            case ZONE_LOST -> usual.withEvents(servers / assumptions.value("zones") / window);
            case RACK_LOST -> usual.withEvents(Math.min(servers, assumptions.value("servers-per-rack")) / window);
            case ROLLING_RELEASE -> usual.withEvents(servers * EVENTS_PER_RESTART / releaseSeconds)
                    .withReconnects(servers / releaseSeconds, true, RECONNECT_SECONDS);
            case RELAY_LOST ->
                usual.withReconnects(servers / assumptions.value("zone-relays") / window, false, RECONNECT_SECONDS);
            case REGION_BACK -> usual.withReconnects(servers / assumptions.value("regions") / window, false,
                    assumptions.value("region-cut-seconds"));
            case ALL_RECONNECT -> usual.withReconnects(servers / window, true, RECONNECT_SECONDS);
        };
    }

    private FleetLoad withEvents(double more) {
        return new FleetLoad(serverEvents + more, configChanges, reconnects, withoutState, missedSeconds);
    }

    private FleetLoad withReconnects(double perSecond, boolean stateLost, double missed) {
        return new FleetLoad(serverEvents, configChanges, perSecond, stateLost, missed);
    }

    /** Returns changes of both kinds per second. */
    double changes() {
        return serverEvents + configChanges;
    }
}
