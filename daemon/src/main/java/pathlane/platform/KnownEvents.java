package pathlane.platform;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import pathlane.bus.ServerList;
import pathlane.config.file.NodeConfig;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;
import pathlane.transport.Addresses;

/** The events of the bus that the configuration holds, as JSON. */
final class KnownEvents {

    private KnownEvents() {}

    /** Reads the events of {@code known}; an event that can't be read is refused with its place. */
    static List<ServerList> read(NodeConfig config) {
        List<ServerList> events = new ArrayList<>();
        try {
            for (JsonElement element : config.knownEvents()) {
                JsonObject topology = element.getAsJsonObject().getAsJsonObject("topology");
                List<ServerEndpoint> lines = new ArrayList<>();
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

    private static ServerEndpoint line(JsonObject host) {
        ServerStatus mode = switch (host.get("health").getAsString()) {
            case "SERVING" -> ServerStatus.RUNNING;
            case "DRAINING" -> ServerStatus.DRAINING;
            case "DELETED" -> ServerStatus.GONE;
            default -> throw new IllegalArgumentException("health " + host.get("health"));
        };
        return new ServerEndpoint(Long.parseLong(host.get("host").getAsString().substring(2), 16),
                Addresses.parse(host.get("dial").getAsString()), mode, host.get("block").getAsInt(),
                host.has("share") ? host.get("share").getAsDouble() : 1,
                Instant.ofEpochMilli(host.has("born_ms") ? host.get("born_ms").getAsLong() : 0));
    }
}
