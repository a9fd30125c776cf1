package pathlane.lab.capacity;

/**
 * Computes each role's cost at a fleet size from measured figures and assumptions. Bytes are those of messages including
 * the headers of their packets. Without side effects.
 */
public final class CapacityModel {

    private static final double MILLIS_IN_SECOND = 1e3;
    private static final double MILLIS_PER_PERCENT = 10;
    private static final double MEGABYTE = 1e6;
    /** Bytes on the current event bus: an event of one server, a heartbeat, and one server within a complete list. */
    private static final double BUS_EVENT_BYTES = 40;
    private static final double BUS_HEARTBEAT_BYTES = 13;
    private static final double BUS_LISTED_BYTES = 27;

    private final Assumptions assumptions;
    private final Figures figures;
    private final ServiceSizes sizes;

    /** Creates a model of the fleet size that the assumptions give. */
    public CapacityModel(Assumptions assumptions, Figures figures) {
        this.assumptions = assumptions;
        this.figures = figures;
        this.sizes = new ServiceSizes(assumptions);
    }

    private double value(String name) {
        return assumptions.value(name);
    }

    private double servers() {
        return value("servers");
    }

    private double header() {
        return value("header-bytes");
    }

    /** Number of servers in one controller's list. */
    public double listed(Design design) {
        return design == Design.BROADCAST ? servers() : Math.min(servers(), value("services-called") * sizes.meanCalled());
    }

    /** Number of servers of the largest service. */
    public double largestService() {
        return sizes.largest();
    }

    /** Number of connections of one controller to session servers. */
    public double connections(Design design) {
        return Math.min(listed(design), value("server-connections-most"));
    }

    /** Calls per second that one controller decides. */
    public double callsPerSecond() {
        return value("calls-per-second") * value("hops-per-counted-call") / servers();
    }

    /** Returns a role's cost. Without relays, the loss of a relay equals the ordinary situation. */
    public RoleCost cost(Design design, Role role, Situation requestedSituation) {
        Situation situation = design == Design.BROADCAST && requestedSituation == Situation.RELAY_LOST ? Situation.ORDINARY
                : requestedSituation;
        FleetLoad load = FleetLoad.of(situation, assumptions);
        return switch (role) {
            case CONTROLLER -> controller(design, load, situation);
            case SESSION_SERVER -> sessionServer(design);
            case SOURCE -> design == Design.BROADCAST ? bus(load) : source(load);
            case ZONE_RELAY -> zoneRelay(load);
            case REGION_RELAY -> regionRelay(load);
            case VOTER -> voter(situation);
            case ACKNOWLEDGEMENT_COLLECTOR -> acknowledgementCollector(design);
        };
    }

    // ---- call controller

    private RoleCost controller(Design design, FleetLoad load, Situation situation) {
        double changes = receivedChanges(design, load);
        double discoveryMessages = changes + (design == Design.SCOPED ? 2 : 1) * value("bookmarks-per-second");
        return new RoleCost(String.format("%,.0f servers listed, %,.0f connections", listed(design), connections(design)),
                reports(design).plus(Estimate.assumed(discoveryMessages)),
                reportBytes(design).plus(discoveryBytes(design, situation)),
                figures.at("idle-cpu-ms-per-second-by-listed", listed(design)).plus(reportCpu(design))
                        .plus(discoveryCpu(design, situation)),
                controllerMemory(listed(design), connections(design)),
                design == Design.BROADCAST ? "event bus, whole list" : "watch at its zone's relay");
    }

    private Estimate reports(Design design) {
        return figures.at("capacity-report-messages-per-second-by-connections", connections(design));
    }

    /** Bytes per second of servers' capacity reports to one controller. */
    Estimate reportBytes(Design design) {
        return figures.at("capacity-report-bytes-per-second-by-connections", connections(design))
                .plus(reports(design).times(header()));
    }

    /**
     * Processor time of servers' capacity reports: the cost of the connections if only their servers are listed, plus the
     * cost that the longer list adds to each report.
     */
    Estimate reportCpu(Design design) {
        double connections = connections(design);
        Estimate longerList = figures.at("module-capacity-report-us", listed(design))
                .minus(figures.at("module-capacity-report-us", connections)).times(1 / MILLIS_IN_SECOND);
        return figures.at("idle-cpu-ms-per-second-by-connections", connections)
                .minus(figures.at("idle-cpu-ms-per-second-by-listed", connections))
                .plus(longerList.times(reports(design).value()));
    }

    /** Bytes per second of discovery to and from one controller, which reconnects if the situation implies it. */
    Estimate discoveryBytes(Design design, Situation situation) {
        FleetLoad load = FleetLoad.of(situation, assumptions);
        return discoveryBytes(design, receivedChanges(design, load))
                .plus(Estimate.assumed(resumptionBytes(design, load, situation)));
    }

    /**
     * Processor time of discovery: each event as the complete front applies it, without reading and logging it, and a
     * complete list for a controller that starts without state.
     */
    Estimate discoveryCpu(Design design, Situation situation) {
        FleetLoad load = FleetLoad.of(situation, assumptions);
        Estimate event = figures.at("event-apply-us", listed(design)).times(1 / MILLIS_IN_SECOND);
        Estimate events = event.times(receivedChanges(design, load));
        return startsWithoutState(load, situation) ? events.plus(figures.at("whole-list-apply-ms", listed(design))
                .times(1 / value("in-force-seconds"))) : events;
    }

    /** Changes per second that one controller receives. */
    private double receivedChanges(Design design, FleetLoad load) {
        return design == Design.BROADCAST ? load.changes()
                : load.serverEvents() * listed(design) / servers()
                        + load.configChanges() * Math.min(1, value("services-called") / value("services"));
    }

    private Estimate discoveryBytes(Design design, double changes) {
        if (design == Design.BROADCAST) {
            return Estimate.assumed(changes * updateBytes(design)
                    + value("bookmarks-per-second") * (BUS_HEARTBEAT_BYTES + header()));
        }
        return Estimate.assumed(changes * (value("update-bytes") + header())
                + 2 * value("bookmarks-per-second") * (value("bookmark-bytes") + header()));
    }

    private static boolean startsWithoutState(FleetLoad load, Situation situation) {
        return load.withoutState() && (situation == Situation.ROLLING_RELEASE || situation == Situation.ALL_RECONNECT);
    }

    /** Bytes per second to one controller that reconnects in this situation, spread over the window. */
    private double resumptionBytes(Design design, FleetLoad load, Situation situation) {
        return switch (situation) {
            case ORDINARY, ZONE_LOST, RACK_LOST -> 0;
            default -> (startsWithoutState(load, situation) ? snapshotBytes(design)
                    : load.missedSeconds() * receivedChanges(design, load) * updateBytes(design))
                    / value("in-force-seconds");
        };
    }

    private double updateBytes(Design design) {
        return (design == Design.BROADCAST ? BUS_EVENT_BYTES : value("update-bytes")) + header();
    }

    /** Bytes of the complete state that one controller needs at its start. */
    double snapshotBytes(Design design) {
        return design == Design.BROADCAST ? servers() * BUS_LISTED_BYTES
                : listed(design) * value("snapshot-bytes-per-server") + value("services-called") * value("config-bytes");
    }

    /** Memory of the front with its list, plus that of each open connection. */
    private Estimate controllerMemory(double listed, double connections) {
        Estimate connection = figures.slope("memory-by-server-connections-heap-bytes")
                .minus(figures.slope("memory-front-bytes"));
        return figures.at("memory-front-bytes", listed).plus(connection.times(connections));
    }

    // ---- others

    private RoleCost sessionServer(Design design) {
        double connections = design == Design.BROADCAST ? connections(design)
                : sizes.shareCallingMostPopular(value("services-called")) * servers();
        Estimate messages = figures.slope("capacity-report-messages-per-second-by-connections").times(connections);
        Estimate bytes = figures.slope("capacity-report-bytes-per-second-by-connections").times(connections)
                .plus(messages.times(header()));
        return new RoleCost(String.format("%,.0f controllers connected%s", connections, design == Design.BROADCAST ? ""
                : " to a server of the most popular service"), messages, bytes, Estimate.missing("session-server-cpu"),
                Estimate.missing("session-server-memory"), "a report a second on each connection");
    }

    private RoleCost bus(FleetLoad load) {
        double messages = servers() * (load.changes() + value("bookmarks-per-second"));
        double bytes = servers() * (load.changes() * updateBytes(Design.BROADCAST)
                + value("bookmarks-per-second") * (BUS_HEARTBEAT_BYTES + header()));
        return new RoleCost(String.format("%,.0f subscribers", servers()), Estimate.assumed(messages + load.reconnects()),
                Estimate.assumed(bytes + load.reconnects() * reconnectBytes(Design.BROADCAST, load)),
                Estimate.missing("bus-cpu"), Estimate.missing("bus-memory"), "event bus, a copy to each controller");
    }

    /** Bytes for one controller that reconnects. */
    private double reconnectBytes(Design design, FleetLoad load) {
        return load.withoutState() ? snapshotBytes(design)
                : load.missedSeconds() * receivedChanges(design, load) * updateBytes(design);
    }

    private RoleCost source(FleetLoad load) {
        return fanOut("the whole catalogue; " + (int) value("regions") + " region relays", value("regions"), load, false,
                "a watch of all services for each region relay");
    }

    private RoleCost regionRelay(FleetLoad load) {
        double subscribers = value("zone-relays") / value("regions");
        return fanOut(String.format("the whole catalogue; %.1f zone relays", subscribers), subscribers, load, true,
                "one upstream watch, one for each zone relay");
    }

    /** Cost of a process that sends each change to a few subscribers and, for a relay, receives it from upstream. */
    private RoleCost fanOut(String state, double subscribers, FleetLoad load, boolean hasUpstream, String mechanism) {
        double copies = subscribers + (hasUpstream ? 1 : 0);
        double messages = copies * (load.changes() + 2 * value("bookmarks-per-second"));
        double bytes = copies * (load.changes() * updateBytes(Design.SCOPED)
                + 2 * value("bookmarks-per-second") * (value("bookmark-bytes") + header()));
        return new RoleCost(state, Estimate.assumed(messages), Estimate.assumed(bytes),
                figures.at("relay-cpu-percent", subscribers).times(MILLIS_PER_PERCENT),
                figures.at("relay-memory-mb", subscribers).times(MEGABYTE), mechanism);
    }

    /** Cost of a zone relay; the controllers of a lost relay move to the other relays of its region. */
    private RoleCost zoneRelay(FleetLoad load) {
        double relays = value("zone-relays");
        double subscribers = servers() / relays;
        double reconnects = load.reconnects() / relays;
        boolean isOneRelayLost = !load.withoutState() && load.missedSeconds() < value("region-cut-seconds");
        if (isOneRelayLost) {
            reconnects = load.reconnects() / Math.max(1, relays / value("regions") - 1);
        } else if (!load.withoutState()) {
            reconnects = load.reconnects() / Math.max(1, relays / value("regions"));
        }
        double forwarded = subscribers * receivedChanges(Design.SCOPED, load);
        double bookmarks = 2 * value("bookmarks-per-second") * (subscribers + 1);
        double bytes =
                (load.changes() + forwarded) * updateBytes(Design.SCOPED) + bookmarks * (value("bookmark-bytes") + header())
                        + reconnects * reconnectBytes(Design.SCOPED, load);
        return new RoleCost(String.format("the whole catalogue; %,.0f controllers", subscribers),
                Estimate.assumed(load.changes() + forwarded + bookmarks + reconnects), Estimate.assumed(bytes),
                figures.at("relay-cpu-percent", subscribers).times(MILLIS_PER_PERCENT),
                figures.at("relay-memory-mb", subscribers).times(MEGABYTE),
                "one upstream watch, one scoped watch for each controller");
    }

    private RoleCost voter(Situation situation) {
        double members = servers();
        String state = String.format("%,.0f leases", members);
        if (situation != Situation.ORDINARY) {
            return new RoleCost(state, Estimate.missing("register-voter-messages"), Estimate.missing("register-voter-bytes"),
                    Estimate.missing("register-voter-cpu"), Estimate.missing("register-voter-memory"),
                    "one register of all");
        }
        return new RoleCost(state, Estimate.missing("register-voter-messages"),
                figures.at("register-voter-bytes-per-second", members)
                        .plus(figures.at("register-voter-log-bytes-per-second", members)),
                figures.at("register-voter-cpu-ms-per-second", members), Estimate.missing("register-voter-memory"),
                "one register of all");
    }

    private RoleCost acknowledgementCollector(Design design) {
        if (design == Design.BROADCAST) {
            return new RoleCost("nothing: nobody acknowledges", Estimate.assumed(0), Estimate.assumed(0),
                    Estimate.assumed(0),
                    Estimate.assumed(0), "none today");
        }
        double relays = value("regions");
        double messages = relays * value("bookmarks-per-second");
        return new RoleCost("revisions in force, by relay", Estimate.assumed(messages),
                Estimate.assumed(messages * (value("acknowledgement-bytes") + header())), Estimate.missing("root-cpu"),
                Estimate.missing("root-memory"), "counts that each relay adds up");
    }

    // ---- calls

    /** Microseconds of one decision over a list of this many servers. */
    public Estimate decisionMicros(double listedServers) {
        return figures.at("decision-time-us", listedServers);
    }

    /** Processor time of the decisions of all calls, in milliseconds per second; a call has three events. */
    public Estimate decisionsCpu(double listedServers) {
        return figures.at("call-time-us", listedServers).times(callsPerSecond() / MILLIS_IN_SECOND);
    }

    /** Returns the figure of a measured series at a size. */
    public Estimate figure(String name, double size) {
        return figures.at(name, size);
    }
}
