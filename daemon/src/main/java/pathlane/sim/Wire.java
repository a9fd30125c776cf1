package pathlane.sim;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pathlane.config.SettingsReader;
import pathlane.decision.Outcome;
import pathlane.decision.RoutingPolicy;
import pathlane.decision.ServerStatus;
import pathlane.decision.policy.AdaptiveRoutingPolicy;

/** Reads the simulator's protocol line by line, passes events to the policy instance they name, and writes the replies. */
public final class Wire {

    private static final int OPTION_IN_TRANSIT = 8;
    private static final int NOTE_CODES = 16;
    private static final int NOTE_NO_FREE_SLOT = 1;
    private static final int NOTE_DESTINATION_BUSY = 4;

    /** An invalid line; the exception's message names the line and the field. */
    public static final class Malformed extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Malformed(String message) {
            super(message);
        }
    }

    private final Map<Integer, RoutingPolicy> instances = new HashMap<>();
    private final Map<Integer, List<RoutingPolicy.ListedServer>> serverLists = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private long lineNumber;
    private String[] fields;
    private boolean isInBatch;
    private double now;
    private int currentInstance = -1;
    private int lastWriter = -1;
    private List<RoutingPolicy.ListedServer> openServerList;
    private int missingRows;

    /** Processes one line; returns the reply if the line ends a batch, else null. */
    public String readLine(String text) {
        lineNumber++;
        fields = text.split("\t", -1);
        String message = fields[0];
        if (missingRows > 0 && !message.equals("row")) {
            throw malformed("message", missingRows + " more row lines expected");
        }
        if (!isInBatch) {
            if (text.isEmpty()) {
                return null;
            }
            if (!message.equals("tick")) {
                throw malformed("message", "expected tick, got '" + message + "'");
            }
            now = number(1, "clock");
            isInBatch = true;
            currentInstance = -1;
            lastWriter = -1;
            reply.setLength(0);
            return null;
        }
        if (message.equals("go")) {
            isInBatch = false;
            return reply.append("end\n").toString();
        }
        handle(message, text);
        return null;
    }

    /** Handles the end of the input, which is an error only within a batch. */
    public void endOfInput() {
        if (isInBatch) {
            fields = new String[0];
            throw malformed("message", "input ended within a batch");
        }
    }

    private void handle(String message, String text) {
        switch (message) {
            case "at" -> currentInstance = (int) integer(1, "who");
            case "hello" -> startInstance(text);
            case "killed" -> instances.remove(currentInstance);
            case "roster" -> {
                openServerList = new ArrayList<>();
                serverLists.put((int) integer(1, "sheet"), openServerList);
                missingRows = (int) integer(2, "elements");
            }
            case "row" -> addServer();
            case "members" -> handleServerList();
            case "incoming" -> handleRequest();
            case "accepted" -> currentPolicy().callEstablished(now, text(1, "handle"), (int) integer(4, "try"),
                    integer(2, "switch"), number(3, "wait-time-ms"));
            case "returned" -> handleAttemptEnd();
            case "abandoned" -> currentPolicy().clientLeft(now, text(1, "handle"));
            case "bell" -> {
                integer(1, "nonce");
                currentPolicy().timerFired(now);
            }
            case "sampled" -> currentPolicy().loadReported(now, integer(1, "switch"), loadReport(4));
            case "memo" -> currentPolicy();
            default -> throw malformed("message", "unknown message '" + message + "'");
        }
    }

    private void startInstance(String text) {
        if (currentInstance < 0) {
            throw malformed("who", "no 'at' line before it");
        }
        long seed = integer(1, "nonce64");
        text(2, "env");
        try {
            String json = text.substring(fields[0].length() + fields[1].length() + 2);
            JsonObject environment = JsonParser.parseString(json).getAsJsonObject();
            instances.put(currentInstance,
                    new AdaptiveRoutingPolicy(SettingsReader.read(environment), seed, new Writer(currentInstance)));
        } catch (JsonParseException | IllegalStateException | UnsupportedOperationException
                | IllegalArgumentException e) {
            throw malformed("env", e.getMessage());
        }
    }

    private void addServer() {
        if (missingRows <= 0) {
            throw malformed("message", "row outside a roster");
        }
        missingRows--;
        ServerStatus status = switch (text(3, "mode")) {
            case "active" -> ServerStatus.RUNNING;
            case "leaving" -> ServerStatus.DRAINING;
            case "left" -> ServerStatus.GONE;
            default -> throw malformed("mode", "unknown mode '" + fields[3] + "'");
        };
        openServerList.add(new RoutingPolicy.ListedServer(integer(6, "switch"), (int) integer(1, "cell"), status,
                number(4, "boot-time-ms", 0), number(2, "heft", 1)));
    }

    private void handleServerList() {
        String kind = text(2, "kind");
        if (kind.equals("X")) {
            currentPolicy().serverListFailed(now);
            return;
        }
        if (!kind.equals("D") && !kind.equals("F") && !kind.equals("C")) {
            throw malformed("kind", "unknown kind '" + kind + "'");
        }
        List<RoutingPolicy.ListedServer> servers = serverLists.get((int) integer(1, "sheet"));
        if (servers == null) {
            throw malformed("sheet", "no such roster");
        }
        currentPolicy().serversListed(now, !kind.equals("D"), servers);
    }

    private void handleRequest() {
        int options = (int) number(10, "opts", 0);
        currentPolicy().requestArrived(now,
                new RoutingPolicy.Request(text(1, "handle"), (int) integer(2, "kind"), text(4, "key"),
                        number(5, "grace-ms"), (int) number(7, "dest", -1), (options & OPTION_IN_TRANSIT) != 0));
    }

    private void handleAttemptEnd() {
        int code = (int) integer(5, "code");
        Outcome outcome = switch (code) {
            case 200 -> Outcome.COMPLETED;
            case 500 -> Outcome.ERROR;
            case 503 -> Outcome.REJECTED;
            case 504 -> Outcome.TIMED_OUT;
            case 502 -> Outcome.UNREACHABLE;
            case 598 -> Outcome.RESET;
            case 499 -> Outcome.CANCELLED;
            case 410 -> Outcome.NOT_SENT;
            default -> throw malformed("code", "unknown outcome " + code);
        };
        int note = (int) Math.max(0, number(7, "note", 0));
        double retryAfterMs = note / NOTE_CODES;
        if (outcome == Outcome.REJECTED && note % NOTE_CODES == NOTE_NO_FREE_SLOT) {
            outcome = Outcome.NO_CAPACITY;
        } else if (outcome == Outcome.ERROR && note % NOTE_CODES == NOTE_DESTINATION_BUSY) {
            outcome = Outcome.BUSY;
        }
        if (outcome != Outcome.REJECTED) {
            retryAfterMs = 0;
        }
        currentPolicy().attemptEnded(now, new RoutingPolicy.AttemptResult(text(1, "handle"), (int) integer(4, "try"),
                integer(6, "switch"), outcome,
                integer(3, "closed") != 0, number(2, "wait-time-ms"), retryAfterMs, loadReport(8)));
    }

    /** The load report in this field of the line, or null if there is none. */
    private RoutingPolicy.LoadReport loadReport(int index) {
        if (index >= fields.length || fields[index].isEmpty() || fields[index].equals("-")) {
            return null;
        }
        double free = Double.NaN;
        double slots = Double.NaN;
        double queued = Double.NaN;
        double requestsPerSecond = Double.NaN;
        double queueMs = Double.NaN;
        double busy = Double.NaN;
        for (String pair : fields[index].split(",")) {
            int colon = pair.indexOf(':');
            if (colon < 0) {
                throw malformed("metrics", "'" + pair + "' is not name:value");
            }
            double value = parse(pair.substring(colon + 1), "metrics");
            switch (value < 0 ? "" : pair.substring(0, colon)) {
                case "free" -> free = value;
                case "size" -> slots = value;
                case "waiting" -> queued = value;
                case "can_take" -> requestsPerSecond = value;
                case "avg_ms" -> queueMs = value;
                case "cpu" -> busy = value;
                default -> {}
            }
        }
        return new RoutingPolicy.LoadReport(free, slots, queued, requestsPerSecond, queueMs, busy);
    }

    private RoutingPolicy currentPolicy() {
        RoutingPolicy instance = instances.get(currentInstance);
        if (instance == null) {
            throw malformed("who", "instance " + currentInstance + " has not started");
        }
        return instance;
    }

    private String text(int index, String field) {
        if (index >= fields.length || fields[index].isEmpty()) {
            throw malformed(field, "missing");
        }
        return fields[index];
    }

    private long integer(int index, String field) {
        try {
            return Long.parseUnsignedLong(text(index, field));
        } catch (NumberFormatException e) {
            try {
                return Long.parseLong(fields[index]);
            } catch (NumberFormatException again) {
                throw malformed(field, "'" + fields[index] + "' is not an integer");
            }
        }
    }

    private double number(int index, String field) {
        return parse(text(index, field), field);
    }

    private double number(int index, String field, double defaultValue) {
        boolean isAbsent = index >= fields.length || fields[index].isEmpty() || fields[index].equals("-");
        return isAbsent ? defaultValue : number(index, field);
    }

    private double parse(String text, String field) {
        try {
            double value = Double.parseDouble(text);
            if (Double.isNaN(value) || Double.isInfinite(value)) {
                throw malformed(field, "'" + text + "' is not a finite number");
            }
            return value;
        } catch (NumberFormatException e) {
            throw malformed(field, "'" + text + "' is not a number");
        }
    }

    private Malformed malformed(String field, String problem) {
        String message = fields.length == 0 ? "" : " (" + fields[0] + ")";
        return new Malformed("line " + lineNumber + message + ", field " + field + ": " + problem);
    }

    /** Appends the actions of one policy instance to the reply. */
    private final class Writer implements RoutingPolicy.Actions {
        private final int instance;

        Writer(int instance) {
            this.instance = instance;
        }

        private StringBuilder beginAction(String action) {
            if (lastWriter != instance) {
                lastWriter = instance;
                reply.append("from\t").append(instance).append('\n');
            }
            return reply.append(action).append('\t');
        }

        @Override
        public void send(String call, long server, double giveUpAfterMs) {
            beginAction("send").append(call).append('\t').append(server).append('\t').append(giveUpAfterMs)
                    .append('\n');
        }

        @Override
        public void reject(String call, double retryAfterMs) {
            beginAction("overload_reply").append(call).append('\t').append(retryAfterMs).append('\n');
        }

        @Override
        public void fail(String call) {
            beginAction("drop_request").append(call).append('\n');
        }

        @Override
        public void cancel(String call, int attempt) {
            beginAction("drop_attempt").append(call).append('\t').append(attempt).append('\n');
        }

        @Override
        public void scheduleTimer(double delayMs) {
            beginAction("after").append(delayMs).append("\t0\n");
        }

        @Override
        public void requestServerList() {
            beginAction("listen").append("1\n");
        }
    }
}
