package pathlane.lab.capacity;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/** All costs that have a budget, for each design. */
public final class Limits {

    /** The bus feed rejects events of more than 256 KiB; a server takes 27 bytes. */
    public static final int MAX_LIST_SERVERS = 9_708;

    private static final String REPORTS = "a report a second on each connection";

    private final Assumptions planned;
    private final Figures figures;

    Limits(Assumptions planned, Figures figures) {
        this.planned = planned;
        this.figures = figures;
    }

    /** Returns a role's budget for a quantity: the required one for controllers, that of a machine for other roles. */
    Optional<Double> budget(Role role, String quantity) {
        boolean controller = role == Role.CONTROLLER;
        if (role == Role.SESSION_SERVER || role == Role.ACKNOWLEDGEMENT_COLLECTOR) {
            return Optional.empty();
        }
        return Optional.of(planned.value(switch (quantity) {
            case "bytes a second" -> controller ? "controller-bytes-per-second" : "machine-bytes-per-second";
            case "processor" -> controller ? "controller-cpu-ms" : "machine-cpu-ms";
            default -> controller ? "controller-memory-bytes" : "machine-memory-bytes";
        }));
    }

    List<Limit> of(Design design) {
        List<Limit> limits = new ArrayList<>();
        for (Role role : roles(design)) {
            add(limits, design, role, "bytes a second", "B/s", RoleCost::bytes);
            add(limits, design, role, "processor", "ms/s", RoleCost::cpuMillis);
            addMemory(limits, design, role);
        }
        double bytes = planned.value("controller-bytes-per-second");
        double cpu = planned.value("controller-cpu-ms");
        limits.add(new Limit("capacity reports alone: bytes a second", design, "B/s", bytes,
                at -> model(at).reportBytes(design), REPORTS));
        limits.add(new Limit("capacity reports alone: processor", design, "ms/s", cpu, at -> model(at).reportCpu(design),
                REPORTS));
        for (Situation situation : situations(design)) {
            limits.add(new Limit("discovery alone: bytes a second, " + situation.text(), design, "B/s", bytes,
                    at -> model(at).discoveryBytes(design, situation), "event bus or watch"));
            limits.add(new Limit("discovery alone: processor, " + situation.text(), design, "ms/s", cpu,
                    at -> model(at).discoveryCpu(design, situation), "event bus or watch"));
        }
        limits.add(new Limit("call controller: resident memory of its process", design, "B",
                planned.value("controller-memory-bytes"), at -> figures.at("start-memory-resident-bytes",
                        model(at).listed(design)),
                "the JVM and the program"));
        limits.add(new Limit("one decision over all that is listed", design, "us", planned.value("added-latency-us"),
                at -> model(at).decisionMicros(model(at).listed(design)), "decision module, one list"));
        limits.add(new Limit("call controller: p99 added to a call at 400 calls/s", design, "us",
                planned.value("added-latency-us"),
                at -> model(at).figure("added-latency-p99-us-at-400", model(at).listed(design)), "the whole program"));
        limits.add(new Limit("call controller: processor of all decisions", design, "ms/s", 1000,
                at -> model(at).decisionsCpu(model(at).listed(design)), "one event loop"));
        if (design == Design.BROADCAST) {
            limits.add(new Limit("a whole list in one event", design, "servers", MAX_LIST_SERVERS,
                    at -> Estimate.exact(at.value("servers")), "event bus; longer ones are refused"));
        } else {
            limits.add(new Limit("one decision over the largest service", design, "us", planned.value("added-latency-us"),
                    at -> model(at).decisionMicros(model(at).largestService()), "decision module, one service"));
        }
        return limits;
    }

    static List<Role> roles(Design design) {
        return Arrays.stream(Role.values()).filter(role -> design == Design.SCOPED
                || role != Role.ZONE_RELAY && role != Role.REGION_RELAY).toList();
    }

    /** Returns the situations of a design; without relays, the loss of a relay does not apply. */
    private static List<Situation> situations(Design design) {
        return Arrays.stream(Situation.values()).filter(situation -> design == Design.SCOPED
                || situation != Situation.RELAY_LOST).toList();
    }

    private CapacityModel model(Assumptions at) {
        return new CapacityModel(at, figures);
    }

    /** Adds one limit of memory, since the state is the same in each situation. */
    private void addMemory(List<Limit> limits, Design design, Role role) {
        budget(role, "memory").ifPresent(budget -> limits.add(new Limit(role.text() + ": memory of its state", design, "B",
                budget, at -> model(at).cost(design, role, Situation.ORDINARY).memoryBytes(),
                model(planned).cost(design, role, Situation.ORDINARY).mechanism())));
    }

    private void add(List<Limit> limits, Design design, Role role, String quantity, String unit,
            Function<RoleCost, Estimate> figure) {
        budget(role, quantity).ifPresent(budget -> {
            for (Situation situation : situations(design)) {
                limits.add(new Limit(role.text() + ": " + quantity + ", " + situation.text(), design, unit, budget,
                        at -> figure.apply(model(at).cost(design, role, situation)),
                        model(planned).cost(design, role, situation).mechanism()));
            }
        });
    }
}
