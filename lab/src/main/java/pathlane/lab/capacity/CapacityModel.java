package pathlane.lab.capacity;

/**
 * What each role bears at a fleet's size, out of measured figures and assumptions. Bytes are those of messages with the
 * headers of their packets. Pure.
 */
public final class CapacityModel {

    private static final double MILLIS_IN_SECOND = 1e3;
    private static final double PERCENT_IN_MILLIS = 10;
    private static final double MEGABYTE = 1e6;
    /** Today's bus: an event of one server, a sign of life, and a server within a whole list. */
    private static final double BUS_EVENT_BYTES = 40;
    private static final double BUS_BEAT_BYTES = 13;
    private static final double BUS_LISTED_BYTES = 27;

    private final Assumptions assumptions;
    private final Figures figures;
    private final ServiceSizes sizes;

    /** At the size that the assumptions say. */
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

    /** Servers in one controller's list. */
    public double listed(Design design) {
        return design == Design.BROADCAST ? servers() : Math.min(servers(), value("services-called") * sizes.meanCalled());
    }

    /** Servers of the largest service. */
    public double largestService() {
        return sizes.largest();
    }

    /** Connections of one controller to session servers. */
    public double connections(Design design) {
        return Math.min(listed(design), value("server-connections-most"));
    }

    /** Calls a second that one controller decides. */
    public double callsPerSecond() {
        return value("calls-per-second") * value("hops-per-counted-call") / servers();
    }

    /** What a role bears. Where there are no relays, none is lost. */
    public RoleCost cost(Design design, Role role, Situation asked) {
        Situation situation = design == Design.BROADCAST && asked == Situation.RELAY_LOST ? Situation.ORDINARY : asked;
        FleetLoad load = FleetLoad.of(situation, assumptions);
        return switch (role) {
            case CONTROLLER -> controller(design, load, situation);
            case SESSION_SERVER -> sessionServer(design);
            case SOURCE -> design == Design.BROADCAST ? bus(load) : source(load);
            case ZONE_RELAY -> zoneRelay(load);
            case REGION_RELAY -> regionRelay(load);
            case VOTER -> voter(situation);
            case GATHERER -> gatherer(design);
        };
    }

    // ---- call controller

    private RoleCost controller(Design design, FleetLoad load, Situation situation) {
        double changes = heard(design, load);
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

    /** Bytes a second of servers' capacity reports to one controller. */
    Estimate reportBytes(Design design) {
        return figures.at("capacity-report-bytes-per-second-by-connections", connections(design))
                .plus(reports(design).times(header()));
    }

    /**
     * Processor time of servers' capacity reports: what the connections cost while just their servers are listed, and what
     * the longer list adds to each report.
     */
    Estimate reportCpu(Design design) {
        double connections = connections(design);
        Estimate longerList = figures.at("module-capacity-report-us", listed(design))
                .minus(figures.at("module-capacity-report-us", connections)).times(1 / MILLIS_IN_SECOND);
        return figures.at("idle-cpu-ms-per-second-by-connections", connections)
                .minus(figures.at("idle-cpu-ms-per-second-by-listed", connections))
                .plus(longerList.times(reports(design).value()));
    }

    /** Bytes a second of discovery to and from one controller, one that reconnects where that is the situation. */
    Estimate discoveryBytes(Design design, Situation situation) {
        FleetLoad load = FleetLoad.of(situation, assumptions);
        return discoveryBytes(design, heard(design, load)).plus(Estimate.assumed(resumed(design, load, situation)));
    }

    /**
     * Processor time of discovery: each event as the whole front applies it, without its reading and its line in the log,
     * and a whole list for one that begins anew.
     */
    Estimate discoveryCpu(Design design, Situation situation) {
        FleetLoad load = FleetLoad.of(situation, assumptions);
        Estimate event = figures.at("event-apply-us", listed(design)).times(1 / MILLIS_IN_SECOND);
        Estimate events = event.times(heard(design, load));
        return isAnew(load, situation) ? events.plus(figures.at("whole-list-apply-ms", listed(design))
                .times(1 / value("in-force-seconds"))) : events;
    }

    /** Changes that one controller hears, a second. */
    private double heard(Design design, FleetLoad load) {
        return design == Design.BROADCAST ? load.changes()
                : load.serverEvents() * listed(design) / servers()
                        + load.configChanges() * Math.min(1, value("services-called") / value("services"));
    }

    private Estimate discoveryBytes(Design design, double changes) {
        if (design == Design.BROADCAST) {
            return Estimate.assumed(changes * updateBytes(design)
                    + value("bookmarks-per-second") * (BUS_BEAT_BYTES + header()));
        }
        return Estimate.assumed(changes * (value("update-bytes") + header())
                + 2 * value("bookmarks-per-second") * (value("bookmark-bytes") + header()));
    }

    private static boolean isAnew(FleetLoad load, Situation situation) {
        return load.fromAnew() && (situation == Situation.ROLLING_RELEASE || situation == Situation.ALL_RECONNECT);
    }

    /** Bytes a second to one controller that reconnects in this situation, spread over the window. */
    private double resumed(Design design, FleetLoad load, Situation situation) {
        return switch (situation) {
            case ORDINARY, ZONE_LOST, RACK_LOST -> 0;
            default -> (isAnew(load, situation) ? snapshotBytes(design)
                    : load.missedSeconds() * heard(design, load) * updateBytes(design)) / value("in-force-seconds");
        };
    }

    private double updateBytes(Design design) {
        return (design == Design.BROADCAST ? BUS_EVENT_BYTES : value("update-bytes")) + header();
    }

    /** All that one controller needs when it begins. */
    double snapshotBytes(Design design) {
        return design == Design.BROADCAST ? servers() * BUS_LISTED_BYTES
                : listed(design) * value("snapshot-bytes-per-server") + value("services-called") * value("config-bytes");
    }

    /** The front with its list, and what a connection that is up adds. */
    private Estimate controllerMemory(double listed, double connections) {
        Estimate connection = figures.slope("memory-by-server-connections-heap-bytes")
                .minus(figures.slope("memory-front-bytes"));
        return figures.at("memory-front-bytes", listed).plus(connection.times(connections));
    }

    // ---- others

    private RoleCost sessionServer(Design design) {
        double connections = design == Design.BROADCAST ? connections(design)
                : sizes.mostPopular(value("services-called")) * servers();
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
                + value("bookmarks-per-second") * (BUS_BEAT_BYTES + header()));
        return new RoleCost(String.format("%,.0f subscribers", servers()), Estimate.assumed(messages + load.reconnects()),
                Estimate.assumed(bytes + load.reconnects() * reconnectBytes(Design.BROADCAST, load)),
                Estimate.missing("bus-cpu"), Estimate.missing("bus-memory"), "event bus, a copy to each controller");
    }

    /** Bytes for one that reconnects. */
    private double reconnectBytes(Design design, FleetLoad load) {
        return load.fromAnew() ? snapshotBytes(design) : load.missedSeconds() * heard(design, load) * updateBytes(design);
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

    /** Whoever hands each change to each of a few subscribers, and perhaps takes it from above. */
    private RoleCost fanOut(String state, double subscribers, FleetLoad load, boolean hasSource, String mechanism) {
        double copies = subscribers + (hasSource ? 1 : 0);
        double messages = copies * (load.changes() + 2 * value("bookmarks-per-second"));
        double bytes = copies * (load.changes() * updateBytes(Design.SCOPED)
                + 2 * value("bookmarks-per-second") * (value("bookmark-bytes") + header()));
        return new RoleCost(state, Estimate.assumed(messages), Estimate.assumed(bytes),
                figures.at("relay-cpu-percent", subscribers).times(PERCENT_IN_MILLIS),
                figures.at("relay-memory-mb", subscribers).times(MEGABYTE), mechanism);
    }

    /** The controllers of a zone; those of a lost relay come to the other relays of its region. */
    private RoleCost zoneRelay(FleetLoad load) {
        double relays = value("zone-relays");
        double subscribers = servers() / relays;
        double reconnects = load.reconnects() / relays;
        boolean ofOneRelay = !load.fromAnew() && load.missedSeconds() < value("region-cut-seconds");
        if (ofOneRelay) {
            reconnects = load.reconnects() / Math.max(1, relays / value("regions") - 1);
        } else if (!load.fromAnew()) {
            reconnects = load.reconnects() / Math.max(1, relays / value("regions"));
        }
        double down = subscribers * heard(Design.SCOPED, load);
        double signs = 2 * value("bookmarks-per-second") * (subscribers + 1);
        double bytes = (load.changes() + down) * updateBytes(Design.SCOPED) + signs * (value("bookmark-bytes") + header())
                + reconnects * reconnectBytes(Design.SCOPED, load);
        return new RoleCost(String.format("the whole catalogue; %,.0f controllers", subscribers),
                Estimate.assumed(load.changes() + down + signs + reconnects), Estimate.assumed(bytes),
                figures.at("relay-cpu-percent", subscribers).times(PERCENT_IN_MILLIS),
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

    private RoleCost gatherer(Design design) {
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

    /** Microseconds of one decision, where so many servers are in the list that it looks at. */
    public Estimate decisionMicros(double inList) {
        return figures.at("decision-time-us", inList);
    }

    /** Processor time of the decisions of all calls, in milliseconds a second; three events a call. */
    public Estimate decisionsCpu(double inList) {
        return figures.at("call-time-us", inList).times(callsPerSecond() / MILLIS_IN_SECOND);
    }

    /** A measured series at a size. */
    public Estimate figure(String name, double size) {
        return figures.at(name, size);
    }
}
