package pathlane.platform;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import pathlane.config.file.NodeConfig;
import pathlane.core.ServerLine;
import pathlane.decision.Gateway.Mode;

/**
 * An event of the list of session servers, in its two forms: records of the event bus, and JSON in {@code known}.
 *
 * @param whole whether the lines are the whole list, or what has changed
 */
public record ServerList(boolean whole, List<ServerLine> lines) {

    private static final int RECORD = 27;
    private static final int ADDRESS = 4;
    private static final double THOUSAND = 1000;

    /** Reads the records that fill the rest of a frame. */
    static ServerList read(boolean whole, ByteBuffer records) {
        if (records.remaining() % RECORD != 0) {
            throw new BadInput("records of " + records.remaining() + " bytes together");
        }
        List<ServerLine> lines = new ArrayList<>();
        while (records.hasRemaining()) {
            long id = records.getInt() & 0xffffffffL;
            byte[] address = new byte[ADDRESS];
            records.get(address);
            int port = records.getShort() & 0xffff;
            int state = records.get() & 0xff;
            if (state >= Mode.values().length) {
                throw new BadInput("a server in state " + state);
            }
            records.getShort();   // zone and kind: nothing here depends on them
            int cell = records.getShort() & 0xffff;
            double weight = (records.getInt() & 0xffffffffL) / THOUSAND;
            long started = records.getLong();
            lines.add(new ServerLine(id, socket(address, port), Mode.values()[state], cell, weight,
                    Instant.ofEpochMilli(started)));
        }
        return new ServerList(whole, lines);
    }

    /** Reads the events of {@code known}; an event that can't be read is refused with its place. */
    public static List<ServerList> known(NodeConfig config) {
        List<ServerList> events = new ArrayList<>();
        try {
            for (JsonElement element : config.knownEvents()) {
                JsonObject topology = element.getAsJsonObject().getAsJsonObject("topology");
                List<ServerLine> lines = new ArrayList<>();
                for (JsonElement host : topology.getAsJsonArray("hosts")) {
                    lines.add(line(host.getAsJsonObject()));
                }
                events.add(new ServerList(topology.get("whole").getAsBoolean(), lines));
            }
            return events;
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("known event " + (events.size() + 1) + " can't be read: "
                    + e.getMessage());
        }
    }

    private static ServerLine line(JsonObject host) {
        Mode mode = switch (host.get("health").getAsString()) {
            case "SERVING" -> Mode.RUNNING;
            case "DRAINING" -> Mode.DRAINING;
            case "DELETED" -> Mode.GONE;
            default -> throw new IllegalArgumentException("health " + host.get("health"));
        };
        return new ServerLine(Long.parseLong(host.get("host").getAsString().substring(2), 16),
                NodeConfig.address(host.get("dial").getAsString()), mode, host.get("block").getAsInt(),
                host.has("share") ? host.get("share").getAsDouble() : 1,
                Instant.ofEpochMilli(host.has("born_ms") ? host.get("born_ms").getAsLong() : 0));
    }

    private static InetSocketAddress socket(byte[] address, int port) {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(address), port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);   // four bytes are always an address
        }
    }
}
