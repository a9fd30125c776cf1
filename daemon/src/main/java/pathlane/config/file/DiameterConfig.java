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
 * Configuration of the Diameter front: its identity, listen address, server peers and call classes.
 *
 * @param clientLimits limits for clients, derived from the descriptors in {@code limits}
 * @param graphite where counters are reported to Graphite, or null
 * @param collectd where counters are reported to collectd, or null
 */
public record DiameterConfig(String host, String realm, InetSocketAddress listen, Duration watchdogInterval,
        List<Peer> peers, List<ServiceClass> classes, Settings settings,
        ClientLimits clientLimits, GraphiteConfig graphite, CollectdConfig collectd) {

    /** The minimum that RFC 3539 allows. */
    private static final Duration MIN_WATCHDOG_INTERVAL = Duration.ofSeconds(6);

    /** A server peer; its index in the list is its pool. */
    public record Peer(long id, String host, InetSocketAddress address, int pool) {}

    /**
     * How requests of a call class are recognized, and how long their senders wait for an answer.
     *
     * @param service the Service-Identifier, or -1 for requests with none or with one that is not listed
     * @param classIndex the class's index in the settings
     */
    public record ServiceClass(int service, int classIndex, Duration timeout) {}

    /**
     * Reads the file.
     *
     * @throws IllegalArgumentException with a one-line message if it is invalid
     */
    public static DiameterConfig read(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw new IllegalArgumentException("the configuration " + file + " can't be read", e);
        } catch (RuntimeException e) {
            throw NodeConfig.invalidFile(file, e);
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
            JsonObject serviceClass = element.getAsJsonObject();
            String name = NodeConfig.text(serviceClass, "name");
            int index = settings.indexOfClass(name);
            if (index < 0) {
                throw new IllegalArgumentException("class '" + name + "' is not in the settings");
            }
            classes.add(new ServiceClass(serviceClass.has("service") ? serviceClass.get("service").getAsInt() : -1, index,
                    Duration.ofMillis(serviceClass.get("patience-ms").getAsLong())));
        }
        Duration watchdogInterval = Duration.ofMillis(root.has("watchdog-ms") ? root.get("watchdog-ms").getAsLong()
                : 30_000);
        if (watchdogInterval.compareTo(MIN_WATCHDOG_INTERVAL) < 0) {
            throw new IllegalArgumentException("watchdog-ms is below the minimum of 6000 that RFC 3539 requires");
        }
        DiameterConfig config = new DiameterConfig(NodeConfig.text(root, "host"), NodeConfig.text(root, "realm"),
                Addresses.parse(NodeConfig.text(root, "listen")), watchdogInterval, List.copyOf(peers),
                List.copyOf(classes), settings, ClientLimits.of(descriptors.clients()), GraphiteConfig.read(root),
                CollectdConfig.read(root));
        config.classOf(-1);
        return config;
    }

    /** The class of requests with this Service-Identifier. */
    public ServiceClass classOf(int service) {
        return classes.stream().filter(serviceClass -> serviceClass.service() == service).findFirst()
                .or(() -> classes.stream().filter(serviceClass -> serviceClass.service() == -1).findFirst())
                .orElseThrow(() -> new IllegalArgumentException(
                        "no class without a service, for requests with none or an unlisted one"));
    }

    public Peer peer(long id) {
        return peers.stream().filter(peer -> peer.id() == id).findFirst().orElseThrow();
    }

    /** The pool of the peer with this host name, or -1. */
    public int poolOf(String host) {
        return peers.stream().filter(peer -> peer.host().equals(host)).mapToInt(Peer::pool).findFirst().orElse(-1);
    }
}
