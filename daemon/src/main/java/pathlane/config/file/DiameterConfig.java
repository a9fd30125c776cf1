package pathlane.config.file;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import pathlane.config.Settings;
import pathlane.config.SettingsReader;
import pathlane.transport.Addresses;

/**
 * What the Diameter front is told: who it is, where it listens, its server peers and its classes.
 *
 * @param callers what clients may take up, from the descriptors in {@code limits}
 * @param graphite where counters are told, or null
 * @param collectd where counters are told too, or null
 */
public record DiameterConfig(String host, String realm, InetSocketAddress listen, Duration watchdog,
        List<Peer> peers, List<ServiceClass> classes, Settings settings,
        CallerLimits callers, GraphiteConfig graphite, CollectdConfig collectd) {

    /** RFC 3539 allows no less. */
    private static final Duration LEAST_WATCHDOG = Duration.ofSeconds(6);

    /** A peer at which calls are set up; its place in the list is its cell. */
    public record Peer(long id, String host, InetSocketAddress address, int cell) {}

    /**
     * How requests of a class are known, and how long their senders wait.
     *
     * @param service the Service-Identifier, or -1 for requests that bear none or one that is not listed
     * @param index the class's place in the settings
     */
    public record ServiceClass(int service, int index, Duration patience) {}

    /**
     * Reads the file.
     *
     * @throws IllegalArgumentException with one plain sentence where it can't be used
     */
    public static DiameterConfig read(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw new IllegalArgumentException("the configuration " + file + " can't be read", e);
        } catch (RuntimeException e) {
            throw NodeConfig.unusable(file, e);
        }
    }

    public static DiameterConfig parse(String text) {
        JsonObject root = JsonParser.parseString(text).getAsJsonObject();
        Settings settings = SettingsReader.read(SettingsReader.object(root, "settings"));
        Descriptors descriptors = NodeConfig.descriptors(root);
        descriptors.requireEnoughForProcess();
        List<Peer> peers = new ArrayList<>();
        for (JsonElement element : SettingsReader.array(root, "peers")) {
            JsonObject peer = element.getAsJsonObject();
            peers.add(new Peer(peers.size() + 1, NodeConfig.text(peer, "host"),
                    Addresses.parse(NodeConfig.text(peer, "address")), peers.size()));
        }
        List<ServiceClass> classes = new ArrayList<>();
        for (JsonElement element : SettingsReader.array(root, "classes")) {
            JsonObject one = element.getAsJsonObject();
            String name = NodeConfig.text(one, "name");
            int index = settings.indexOfClass(name);
            if (index < 0) {
                throw new IllegalArgumentException("class '" + name + "' is not in the settings");
            }
            classes.add(new ServiceClass(one.has("service") ? one.get("service").getAsInt() : -1, index,
                    Duration.ofMillis(one.get("patience-ms").getAsLong())));
        }
        Duration watchdog = Duration.ofMillis(root.has("watchdog-ms") ? root.get("watchdog-ms").getAsLong()
                : 30_000);
        if (watchdog.compareTo(LEAST_WATCHDOG) < 0) {
            throw new IllegalArgumentException("watchdog-ms is under the 6000 that RFC 3539 asks for");
        }
        DiameterConfig config = new DiameterConfig(NodeConfig.text(root, "host"), NodeConfig.text(root, "realm"),
                Addresses.parse(NodeConfig.text(root, "listen")), watchdog, List.copyOf(peers),
                List.copyOf(classes), settings, CallerLimits.of(descriptors.callers()), GraphiteConfig.read(root),
                CollectdConfig.read(root));
        config.classOf(-1);
        return config;
    }

    /** The class of requests with this Service-Identifier. */
    public ServiceClass classOf(int service) {
        return classes.stream().filter(one -> one.service() == service).findFirst()
                .or(() -> classes.stream().filter(one -> one.service() == -1).findFirst())
                .orElseThrow(() -> new IllegalArgumentException("no class is for requests without a service"));
    }

    public Peer peer(long id) {
        return peers.stream().filter(peer -> peer.id() == id).findFirst().orElseThrow();
    }

    /** The cell of the peer with this name, or -1. */
    public int cellOf(String host) {
        return peers.stream().filter(peer -> peer.host().equals(host)).mapToInt(Peer::cell).findFirst().orElse(-1);
    }
}
