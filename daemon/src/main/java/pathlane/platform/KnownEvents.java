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

/** Parses the event bus events that the configuration contains as JSON, from which the server list starts. */
final class KnownEvents {

    private KnownEvents() {}

    /**
     * Parses the events under {@code known}.
     *
     * @throws IllegalArgumentException with the event's position if one can't be parsed
     */
    static List<ServerList> read(NodeConfig config) {
        List<ServerList> events = new ArrayList<>();
        try {
            for (JsonElement element : config.knownEvents()) {
                JsonObject topology = element.getAsJsonObject().getAsJsonObject("topology");
                List<ServerEndpoint> endpoints = new ArrayList<>();
                for (JsonElement host : topology.getAsJsonArray("hosts")) {
                    endpoints.add(endpoint(host.getAsJsonObject()));
                }
                events.add(new ServerList(topology.get("whole").getAsBoolean(), endpoints));
            }
            return events;
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("known event " + (events.size() + 1) + " can't be read: "
                    + e.getMessage());
        }
    }

    private static ServerEndpoint endpoint(JsonObject host) {
        ServerStatus status = switch (host.get("health").getAsString()) {
            case "SERVING" -> ServerStatus.RUNNING;
            case "DRAINING" -> ServerStatus.DRAINING;
            case "DELETED" -> ServerStatus.GONE;
            default -> throw new IllegalArgumentException("health " + host.get("health"));
        };
        return new ServerEndpoint(Long.parseLong(host.get("host").getAsString().substring(2), 16),
                Addresses.parse(host.get("dial").getAsString()), status, host.get("block").getAsInt(),
                host.has("share") ? host.get("share").getAsDouble() : 1,
                Instant.ofEpochMilli(host.has("born_ms") ? host.get("born_ms").getAsLong() : 0));
    }
}
