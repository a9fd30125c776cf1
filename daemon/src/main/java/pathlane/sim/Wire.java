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

/** Reads the wire line by line, hands events to the instance they name, and writes the replies. */
public final class Wire {

    private static final int IN_TRANSIT = 8;
    private static final int NOTE_BITS = 16;
    private static final int NO_LINE = 1;
    private static final int ENGAGED = 4;

    /** A line that can't be read; its message names the line and the field. */
    public static final class Malformed extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Malformed(String message) {
            super(message);
        }
    }

    private final Map<Integer, RoutingPolicy> instances = new HashMap<>();
    private final Map<Integer, List<RoutingPolicy.ListedServer>> sheets = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private long lineNumber;
    private String[] part;
    private boolean inBatch;
    private double now;
    private int who = -1;
    private int writer = -1;
    private List<RoutingPolicy.ListedServer> openSheet;
    private int rowsDue;

    /** Takes one line; returns the reply when it closes a batch, else null. */
    public String line(String text) {
        lineNumber++;
        part = text.split("\t", -1);
        String message = part[0];
        if (rowsDue > 0 && !message.equals("row")) {
            throw malformed("message", rowsDue + " more row lines expected");
        }
        if (!inBatch) {
            if (text.isEmpty()) {
                return null;
            }
            if (!message.equals("tick")) {
                throw malformed("message", "expected tick, got '" + message + "'");
            }
            now = number(1, "clock");
            inBatch = true;
            who = -1;
            writer = -1;
            reply.setLength(0);
            return null;
        }
        if (message.equals("go")) {
            inBatch = false;
            return reply.append("end\n").toString();
        }
        event(message, text);
        return null;
    }

    /** The input has ended: that is an error within a batch only. */
    public void end() {
        if (inBatch) {
            part = new String[0];
            throw malformed("message", "input ended within a batch");
        }
    }

    private void event(String message, String text) {
        switch (message) {
            case "at" -> who = (int) integer(1, "who");
            case "hello" -> hello(text);
            case "killed" -> instances.remove(who);
            case "roster" -> {
                openSheet = new ArrayList<>();
                sheets.put((int) integer(1, "sheet"), openSheet);
                rowsDue = (int) integer(2, "elements");
            }
            case "row" -> row();
            case "members" -> members();
            case "incoming" -> incoming();
            case "accepted" -> logic().callEstablished(now, text(1, "handle"), (int) integer(4, "try"),
                    integer(2, "switch"), number(3, "wait-time-ms"));
            case "returned" -> returned();
            case "abandoned" -> logic().clientLeft(now, text(1, "handle"));
            case "bell" -> {
                integer(1, "nonce");
                logic().timerFired(now);
            }
            case "sampled" -> logic().loadReported(now, integer(1, "switch"), report(4));
            case "memo" -> logic();
            default -> throw malformed("message", "unknown message '" + message + "'");
        }
    }

    private void hello(String text) {
        if (who < 0) {
            throw malformed("who", "no 'at' line before it");
        }
        long seed = integer(1, "nonce64");
        text(2, "env");
        try {
            String json = text.substring(part[0].length() + part[1].length() + 2);
            JsonObject env = JsonParser.parseString(json).getAsJsonObject();
            instances.put(who, new AdaptiveRoutingPolicy(SettingsReader.read(env), seed, new Writer(who)));
        } catch (JsonParseException | IllegalStateException | UnsupportedOperationException
                | IllegalArgumentException e) {
            throw malformed("env", e.getMessage());
        }
    }

    private void row() {
        if (rowsDue <= 0) {
            throw malformed("message", "row outside a roster");
        }
        rowsDue--;
        ServerStatus mode = switch (text(3, "mode")) {
            case "active" -> ServerStatus.RUNNING;
            case "leaving" -> ServerStatus.DRAINING;
            case "left" -> ServerStatus.GONE;
            default -> throw malformed("mode", "unknown mode '" + part[3] + "'");
        };
        openSheet.add(new RoutingPolicy.ListedServer(integer(6, "switch"), (int) integer(1, "cell"), mode,
                number(4, "boot-time-ms", 0), number(2, "heft", 1)));
    }

    private void members() {
        String kind = text(2, "kind");
        if (kind.equals("X")) {
            logic().serverListFailed(now);
            return;
        }
        if (!kind.equals("D") && !kind.equals("F") && !kind.equals("C")) {
            throw malformed("kind", "unknown kind '" + kind + "'");
        }
        List<RoutingPolicy.ListedServer> sheet = sheets.get((int) integer(1, "sheet"));
        if (sheet == null) {
            throw malformed("sheet", "no such roster");
        }
        logic().serversListed(now, !kind.equals("D"), sheet);
    }

    private void incoming() {
        int flags = (int) number(10, "opts", 0);
        logic().requestArrived(now, new RoutingPolicy.Request(text(1, "handle"), (int) integer(2, "kind"), text(4, "key"),
                number(5, "grace-ms"), (int) number(7, "dest", -1), (flags & IN_TRANSIT) != 0));
    }

    private void returned() {
        int code = (int) integer(5, "code");
        Outcome how = switch (code) {
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
        double statedWait = note / NOTE_BITS;
        if (how == Outcome.REJECTED && note % NOTE_BITS == NO_LINE) {
            how = Outcome.NO_CAPACITY;
        } else if (how == Outcome.ERROR && note % NOTE_BITS == ENGAGED) {
            how = Outcome.BUSY;
        }
        if (how != Outcome.REJECTED) {
            statedWait = 0;
        }
        logic().attemptEnded(now, new RoutingPolicy.AttemptResult(text(1, "handle"), (int) integer(4, "try"),
                integer(6, "switch"), how,
                integer(3, "closed") != 0, number(2, "wait-time-ms"), statedWait, report(8)));
    }

    /** The load report in this part of the line, or null where there is none. */
    private RoutingPolicy.LoadReport report(int index) {
        if (index >= part.length || part[index].isEmpty() || part[index].equals("-")) {
            return null;
        }
        double free = Double.NaN;
        double lines = Double.NaN;
        double waiting = Double.NaN;
        double perSecond = Double.NaN;
        double wait = Double.NaN;
        double busy = Double.NaN;
        for (String pair : part[index].split(",")) {
            int colon = pair.indexOf(':');
            if (colon < 0) {
                throw malformed("metrics", "'" + pair + "' is not name:value");
            }
            double value = parse(pair.substring(colon + 1), "metrics");
            switch (value < 0 ? "" : pair.substring(0, colon)) {
                case "free" -> free = value;
                case "size" -> lines = value;
                case "waiting" -> waiting = value;
                case "can_take" -> perSecond = value;
                case "avg_ms" -> wait = value;
                case "cpu" -> busy = value;
                default -> {}
            }
        }
        return new RoutingPolicy.LoadReport(free, lines, waiting, perSecond, wait, busy);
    }

    private RoutingPolicy logic() {
        RoutingPolicy instance = instances.get(who);
        if (instance == null) {
            throw malformed("who", "instance " + who + " has not started");
        }
        return instance;
    }

    private String text(int index, String field) {
        if (index >= part.length || part[index].isEmpty()) {
            throw malformed(field, "missing");
        }
        return part[index];
    }

    private long integer(int index, String field) {
        try {
            return Long.parseUnsignedLong(text(index, field));
        } catch (NumberFormatException e) {
            try {
                return Long.parseLong(part[index]);
            } catch (NumberFormatException again) {
                throw malformed(field, "'" + part[index] + "' is not a whole number");
            }
        }
    }

    private double number(int index, String field) {
        return parse(text(index, field), field);
    }

    private double number(int index, String field, double absent) {
        boolean none = index >= part.length || part[index].isEmpty() || part[index].equals("-");
        return none ? absent : number(index, field);
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

    private Malformed malformed(String field, String what) {
        String message = part.length == 0 ? "" : " (" + part[0] + ")";
        return new Malformed("line " + lineNumber + message + ", field " + field + ": " + what);
    }

    /** Writes one instance's actions into the reply. */
    private final class Writer implements RoutingPolicy.Actions {
        private final int instance;

        Writer(int instance) {
            this.instance = instance;
        }

        private StringBuilder begin(String action) {
            if (writer != instance) {
                writer = instance;
                reply.append("from\t").append(instance).append('\n');
            }
            return reply.append(action).append('\t');
        }

        @Override
        public void send(String call, long server, double giveUpAfterMs) {
            begin("send").append(call).append('\t').append(server).append('\t').append(giveUpAfterMs)
                    .append('\n');
        }

        @Override
        public void reject(String call, double adviseMs) {
            begin("overload_reply").append(call).append('\t').append(adviseMs).append('\n');
        }

        @Override
        public void fail(String call) {
            begin("drop_request").append(call).append('\n');
        }

        @Override
        public void cancel(String call, int attempt) {
            begin("drop_attempt").append(call).append('\t').append(attempt).append('\n');
        }

        @Override
        public void scheduleTimer(double delayMs) {
            begin("after").append(delayMs).append("\t0\n");
        }

        @Override
        public void requestServerList() {
            begin("listen").append("1\n");
        }
    }
}
