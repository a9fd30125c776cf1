package pathlane.lab.capacity;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Builds the tables of docs/CAPACITY.md, by name, as Markdown. Without side effects. */
public final class CapacityTables {

    private static final double SAME_RELATIVE_DIFFERENCE = 0.005;
    private static final String UNCHANGED = "-";

    private final Assumptions assumptions;
    private final Figures figures;
    private final CapacityModel model;
    private final Limits limits;

    public CapacityTables(Assumptions assumptions, Figures figures) {
        this.assumptions = assumptions;
        this.figures = figures;
        this.model = new CapacityModel(assumptions, figures);
        this.limits = new Limits(assumptions, figures);
    }

    /** Returns all tables in the order of the page. */
    public Map<String, String> all() {
        Map<String, String> tables = new LinkedHashMap<>();
        tables.put("assumptions", assumptions());
        tables.put("sensitivity", sensitivity());
        tables.put("machines", machines());
        tables.put("breaks-broadcast", exceededLimits(Design.BROADCAST));
        tables.put("breaks-scoped", exceededLimits(Design.SCOPED));
        tables.put("roles-broadcast", roles(Design.BROADCAST));
        tables.put("roles-scoped", roles(Design.SCOPED));
        tables.put("calls", calls());
        tables.put("scale-run", scaleRun());
        tables.put("figures", figures());
        tables.put("fits", fits());
        return tables;
    }

    private String assumptions() {
        Markdown table = new Markdown("assumption", "value", "of", "origin", "note");
        for (Assumption one : assumptions.all()) {
            table.row(one.name(), Markdown.number(one.value()), one.unit(),
                    one.origin().name().toLowerCase(Locale.ROOT), one.note());
        }
        return table.text();
    }

    // ---- sensitivity

    /** A result whose sensitivity to each assumption the page shows. */
    private record Outcome(String name, Function<CapacityModel, Estimate> figure, String unit) {}

    private static final List<Outcome> OUTCOMES = List.of(
            new Outcome("servers a controller lists", model -> Estimate.assumed(model.listed(Design.SCOPED)), "servers"),
            new Outcome("its bytes", model -> model.cost(Design.SCOPED, Role.CONTROLLER, Situation.ORDINARY).bytes(), "B/s"),
            new Outcome("its processor time",
                    model -> model.cost(Design.SCOPED, Role.CONTROLLER, Situation.ORDINARY).cpuMillis(), "ms/s"),
            new Outcome("a zone relay's bytes as all reconnect",
                    model -> model.cost(Design.SCOPED, Role.ZONE_RELAY, Situation.ALL_RECONNECT).bytes(), "B/s"),
            new Outcome("a decision over the largest service", model -> model.decisionMicros(model.largestService()), "us"),
            new Outcome("processor time of all decisions", model -> model.decisionsCpu(model.listed(Design.SCOPED)),
                    "ms/s"));

    private String sensitivity() {
        List<String> header = new ArrayList<>(List.of("assumption"));
        List<String> planned = new ArrayList<>(List.of("as assumed"));
        for (Outcome outcome : OUTCOMES) {
            header.add(outcome.name());
            planned.add(Markdown.quantity(outcome.figure().apply(model), outcome.unit()));
        }
        Markdown table = new Markdown(header.toArray(String[]::new)).row(planned.toArray(String[]::new));
        for (Assumption one : assumptions.all()) {
            List<String> cells = new ArrayList<>(List.of(one.name()));
            OUTCOMES.forEach(outcome -> cells.add(atHalfAndDouble(one, outcome)));
            if (cells.stream().skip(1).anyMatch(cell -> !cell.equals(UNCHANGED))) {
                table.row(cells.toArray(String[]::new));
            }
        }
        return table.text();
    }

    private String atHalfAndDouble(Assumption one, Outcome outcome) {
        Estimate usual = outcome.figure().apply(model);
        Estimate half = outcome.figure().apply(new CapacityModel(assumptions.halved(one.name()), figures));
        Estimate twice = outcome.figure().apply(new CapacityModel(assumptions.doubled(one.name()), figures));
        return isSame(usual, half) && isSame(usual, twice) ? UNCHANGED
                : Markdown.quantity(half, outcome.unit()) + " / " + Markdown.quantity(twice, outcome.unit());
    }

    private static boolean isSame(Estimate one, Estimate other) {
        return !one.isKnown() && !other.isKnown()
                || Math.abs(one.value() - other.value()) <= SAME_RELATIVE_DIFFERENCE * one.value();
    }

    // ---- the plan

    private String machines() {
        double sources = assumptions.value("source-machines");
        double regions = assumptions.value("regions");
        double zones = assumptions.value("zone-relays");
        double voters = assumptions.value("voter-machines");
        return new Markdown("machines for", "how many")
                .row("the discovery source, one active", Markdown.number(sources))
                .row("region relays", Markdown.number(regions)).row("zone relays", Markdown.number(zones))
                .row("voters of the register", Markdown.number(voters))
                .row("together, of " + Markdown.number(assumptions.value("control-machines")),
                        Markdown.number(sources + regions + zones + voters))
                .text();
    }

    /** Lists the budgets by the fleet size that exceeds them; of a cost's bad situations only the first to exceed it. */
    private String exceededLimits(Design design) {
        record Break(Limit limit, double size) {}
        Map<String, Break> first = new LinkedHashMap<>();
        for (Limit limit : limits.of(design)) {
            if (limit.at(assumptions).isKnown()) {
                Break here = new Break(limit, limit.exceededFrom(assumptions));
                first.merge(groupOf(limit), here, (one, other) -> other.size() < one.size() ? other : one);
            }
        }
        Markdown table = new Markdown("breaks at servers", "what", "at " + Markdown.number(assumptions.value("servers")),
                "budget", "", "basis", "carried by");
        first.values().stream().sorted(Comparator.comparingDouble(Break::size)).forEach(one -> {
            Estimate planned = one.limit().at(assumptions);
            table.row(one.size() <= 1 ? "any" : Markdown.number(one.size()), one.limit().what(),
                    Markdown.quantity(planned, one.limit().unit()),
                    Markdown.quantity(Estimate.exact(one.limit().budget()), one.limit().unit()),
                    one.limit().isOver(assumptions) ? "**over**" : "within", planned.basis(),
                    one.limit().mechanism());
        });
        return table.text();
    }

    /** Returns the group of a limit: all bad situations of a cost are one group. */
    private static String groupOf(Limit limit) {
        return limit.what().endsWith(Situation.ORDINARY.text()) ? limit.what() : limit.what().split(",")[0];
    }

    // ---- roles

    private String roles(Design design) {
        Markdown table = new Markdown("role", "when", "messages/s", "bytes/s", "processor", "memory", "over budget",
                "basis", "from");
        for (Role role : Limits.roles(design)) {
            Map<List<String>, List<Situation>> situationsByCells = new LinkedHashMap<>();
            for (Situation situation : Situation.values()) {
                situationsByCells.computeIfAbsent(cells(design, role, situation), any -> new ArrayList<>()).add(situation);
            }
            situationsByCells.forEach((cells, situations) -> {
                RoleCost cost = model.cost(design, role, situations.get(0));
                List<String> row = new ArrayList<>(List.of(situations.get(0) == Situation.ORDINARY
                        ? "**" + role.text() + "**: " + cost.state() + "; " + cost.mechanism() : role.text(),
                        situations.stream().map(Situation::text).collect(Collectors.joining(", "))));
                row.addAll(cells);
                row.add(situations.get(0) == Situation.ORDINARY ? cost.basis().sourceNames() : "");
                table.row(row.toArray(String[]::new));
            });
        }
        return table.text();
    }

    private List<String> cells(Design design, Role role, Situation situation) {
        RoleCost cost = model.cost(design, role, situation);
        List<String> over = new ArrayList<>();
        addIfOverBudget(over, role, "bytes a second", cost.bytes());
        addIfOverBudget(over, role, "processor", cost.cpuMillis());
        addIfOverBudget(over, role, "memory", cost.memoryBytes());
        boolean noBudget = limits.budget(role, "processor").isEmpty();
        return List.of(Markdown.number(cost.messages()), Markdown.quantity(cost.bytes(), "B/s"),
                Markdown.quantity(cost.cpuMillis(), "ms/s"), Markdown.bytes(cost.memoryBytes()),
                noBudget ? "no budget" : over.isEmpty() ? "" : String.join(", ", over), cost.basis().basis());
    }

    private void addIfOverBudget(List<String> over, Role role, String quantity, Estimate cost) {
        limits.budget(role, quantity).filter(budget -> cost.value() > budget).ifPresent(budget -> over
                .add(String.format(Locale.ROOT, "**%s** %s times", quantity, Markdown.number(cost.value() / budget))));
    }

    // ---- calls

    private String calls() {
        Markdown table = new Markdown("of calls", "size", "figure", "basis", "from");
        double listed = model.listed(Design.SCOPED);
        addCallRow(table, "one decision over every server", assumptions.value("servers"), "decision-time-us", "us");
        addCallRow(table, "one decision over a controller's services", listed, "decision-time-us", "us");
        addCallRow(table, "one decision over the largest service", model.largestService(), "decision-time-us", "us");
        addCallRow(table, "bytes allocated by one decision over every server", assumptions.value("servers"),
                "decision-allocation-bytes", "B");
        addCallRow(table, "the same over a controller's services", listed, "decision-allocation-bytes", "B");
        for (String rate : new String[] {"400", "2400"}) {
            for (String quantile : new String[] {"p50", "p99", "p99.9"}) {
                addCallRow(table, quantile + " added at " + rate + " calls/s, a controller's services listed", listed,
                        "added-latency-" + quantile + "-us-at-" + rate, "us");
            }
            addCallRow(table, "processor at " + rate + " calls/s, a controller's services listed", listed,
                    "cpu-ms-per-second-at-" + rate, "ms/s");
        }
        Estimate decisions = model.decisionsCpu(assumptions.value("servers"));
        table.row("processor of decisions over every server, " + Markdown.number(model.callsPerSecond()) + " calls/s",
                Markdown.number(assumptions.value("servers")), Markdown.quantity(decisions, "ms/s"),
                decisions.basis(), decisions.sourceNames());
        Estimate scoped = model.decisionsCpu(listed);
        table.row("the same over a controller's services", Markdown.number(listed), Markdown.quantity(scoped, "ms/s"),
                scoped.basis(), scoped.sourceNames());
        return table.text();
    }

    private void addCallRow(Markdown table, String description, double size, String series, String unit) {
        Estimate figure = figures.at(series, size);
        table.row(description, Markdown.number(Math.rint(size)), Markdown.quantity(figure, unit), figure.basis(),
                figure.sourceNames());
    }

    // ---- measurements

    /** Compares the results of the scale run with the budgets. */
    private String scaleRun() {
        double controllers = assumptions.value("servers");
        double subscribers = controllers / assumptions.value("zone-relays");
        Markdown table = new Markdown("from the scale run", "size", "figure", "budget", "basis", "from");
        for (String name : new String[] {"in-force-p50-ms", "in-force-p99-ms", "in-force-max-ms"}) {
            addScaleRow(table, name, controllers, "controllers", assumptions.value("in-force-seconds") * 1000);
        }
        addScaleRow(table, "controller-bytes-per-second", controllers, "controllers",
                assumptions.value("controller-bytes-per-second"));
        addScaleRow(table, "controller-cpu-percent", controllers, "controllers",
                assumptions.value("controller-cpu-ms") / 10);
        addScaleRow(table, "controller-memory-mb", controllers, "controllers",
                assumptions.value("controller-memory-bytes") / 1e6);
        addScaleRow(table, "relay-bytes-per-second", subscribers, "subscribers",
                assumptions.value("machine-bytes-per-second"));
        addScaleRow(table, "relay-cpu-percent", subscribers, "subscribers", assumptions.value("machine-cpu-ms") / 10);
        addScaleRow(table, "relay-memory-mb", subscribers, "subscribers", assumptions.value("machine-memory-bytes") / 1e6);
        return table.text();
    }

    private void addScaleRow(Markdown table, String name, double size, String countedUnit, double budget) {
        Estimate figure = figures.at(name, size);
        table.row(name, Markdown.number(Math.rint(size)) + " " + countedUnit, Markdown.number(figure),
                Markdown.number(budget),
                figure.basis(), figure.isKnown() ? figure.sourceNames() : "");
    }

    private static Set<String> distinct(Collection<Measurement> rows, Function<Measurement, String> property) {
        return rows.stream().map(property).filter(Objects::nonNull).collect(Collectors.toCollection(TreeSet::new));
    }

    private String figures() {
        Markdown table = new Markdown("series", "mean at each size", "runs", "commit", "machine");
        for (Series series : figures.all()) {
            String means = series.means().entrySet().stream()
                    .map(one -> Markdown.number(one.getKey()) + ": " + Markdown.number(one.getValue()))
                    .collect(Collectors.joining("; "));
            table.row(series.name(), means, Integer.toString(series.rows().size()),
                    String.join(", ", distinct(series.rows(), Measurement::commit)),
                    String.join(", ", distinct(series.rows(), Measurement::machine)));
        }
        return table.text();
    }

    private String fits() {
        Markdown table = new Markdown("series", "slope", "intercept", "residual", "r²", "sizes");
        for (Series series : figures.all()) {
            if (series.sizes() < 2) {
                table.row(series.name(), UNCHANGED, UNCHANGED, UNCHANGED, UNCHANGED, "one");
                continue;
            }
            LinearFit fit = series.fit();
            table.row(series.name(), scientific(fit.slope()), scientific(fit.intercept()), scientific(fit.residual()),
                    Double.isNaN(fit.rSquare()) ? UNCHANGED : String.format(Locale.ROOT, "%.3f", fit.rSquare()),
                    fit.sizes() + ", " + Markdown.number(fit.smallest()) + " to " + Markdown.number(fit.largest())
                            + (fit.sizes() < LinearFit.MIN_SIZES ? " (too few for a slope)" : ""));
        }
        return table.text();
    }

    private static String scientific(double value) {
        return String.format(Locale.ROOT, "%.4g", value);
    }
}
