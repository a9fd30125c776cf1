package pathlane.relay;

import com.google.gson.stream.JsonReader;
import com.google.gson.stream.MalformedJsonException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;
import pathlane.discovery.CatalogueLimits;
import pathlane.transport.Addresses;

/**
 * A whole catalogue as a JSON file, for a source without an event bus:
 * {@code {"services": {NAME: {"configuration": TEXT, "endpoints": [{"id": 7, "address": "127.0.0.1:7000",
 * "draining": false, "cell": 0, "weight": 1, "started-ms": 0}]}}}}; all but id and address may be left out. Read as a
 * stream, since a catalogue has tens of thousands of endpoints.
 */
final class CatalogueFile {

    private static final long MOST_ID = 0xffffffffL;
    private static final int MOST_CELL = 0xffff;

    /** What the file says of one service. */
    record Content(List<ServerEndpoint> endpoints, String configuration) {}

    private final Path file;
    private final JsonReader json;
    private final Set<Long> ids = new HashSet<>();

    private CatalogueFile(Path file, JsonReader json) {
        this.file = file;
        this.json = json;
    }

    /**
     * Reads the file.
     *
     * @return the services by name, each with its endpoints in ascending order of their ids
     * @throws IllegalArgumentException with one sentence that names file and line
     */
    static Map<String, Content> read(Path file) {
        try (JsonReader json = new JsonReader(Files.newBufferedReader(file, StandardCharsets.UTF_8))) {
            return new CatalogueFile(file, json).services();
        } catch (MalformedJsonException e) {
            throw new IllegalArgumentException(file + ": " + e.getMessage().lines().findFirst().orElse(""), e);
        } catch (IOException e) {
            throw new IllegalArgumentException("the catalogue " + file + " can't be read", e);
        }
    }

    /** The sentence with the place that the reader has come to. */
    private IllegalArgumentException error(String sentence) {
        // The reader tells its place in no other way: "JsonReader at line 3 column 9 path $.services".
        String place = json.toString().replaceFirst("^JsonReader at ", "").replaceFirst(" column .*$", "");
        return new IllegalArgumentException(file + " " + place + ": " + sentence);
    }

    private Map<String, Content> services() throws IOException {
        Map<String, Content> services = new TreeMap<>();
        try {
            json.beginObject();
            while (json.hasNext()) {
                String key = json.nextName();
                if (!key.equals("services")) {
                    throw error("'" + key + "' is no key here; there is 'services'");
                }
                json.beginObject();
                while (json.hasNext()) {
                    service(services);
                }
                json.endObject();
            }
            json.endObject();
        } catch (IllegalStateException | NumberFormatException e) {
            throw error("not what is needed here: " + e.getMessage().lines().findFirst().orElse(""));
        }
        return services;
    }

    private void service(Map<String, Content> services) throws IOException {
        String name = json.nextName();
        if (name.isEmpty() || name.getBytes(StandardCharsets.UTF_8).length > CatalogueLimits.LONGEST_NAME) {
            throw error("'" + name + "' is no service's name; right would be 1 to " + CatalogueLimits.LONGEST_NAME
                    + " bytes");
        }
        String configuration = "";
        List<ServerEndpoint> endpoints = new ArrayList<>();
        json.beginObject();
        while (json.hasNext()) {
            String key = json.nextName();
            switch (key) {
                case "configuration" -> configuration = configuration();
                case "endpoints" -> {
                    json.beginArray();
                    while (json.hasNext()) {
                        endpoints.add(endpoint());
                    }
                    json.endArray();
                }
                default -> throw error("'" + key + "' is no key here; there are configuration, endpoints");
            }
        }
        json.endObject();
        if (endpoints.size() > CatalogueLimits.MOST_ENDPOINTS) {
            throw error("service '" + name + "' has " + endpoints.size() + " endpoints; right would be "
                    + CatalogueLimits.MOST_ENDPOINTS + " at the most");
        }
        endpoints.sort(Comparator.comparingLong(ServerEndpoint::id));
        if (services.put(name, new Content(List.copyOf(endpoints), configuration)) != null) {
            throw error("service '" + name + "' is there twice");
        }
    }

    private String configuration() throws IOException {
        String text = json.nextString();
        if (text.length() > CatalogueLimits.LONGEST_CONFIGURATION) {
            throw error("a configuration of " + text.length() + " characters; right would be "
                    + CatalogueLimits.LONGEST_CONFIGURATION + " at the most");
        }
        return text;
    }

    private ServerEndpoint endpoint() throws IOException {
        long id = -1;
        InetSocketAddress address = null;
        ServerStatus mode = ServerStatus.RUNNING;
        int cell = 0;
        double weight = 1;
        Instant started = Instant.EPOCH;
        json.beginObject();
        while (json.hasNext()) {
            String key = json.nextName();
            switch (key) {
                case "id" -> id = whole(key, MOST_ID);
                case "address" -> address = address(json.nextString());
                case "draining" -> mode = json.nextBoolean() ? ServerStatus.DRAINING : ServerStatus.RUNNING;
                case "cell" -> cell = (int) whole(key, MOST_CELL);
                case "weight" -> weight = weight();
                case "started-ms" -> started = Instant.ofEpochMilli(whole(key, Long.MAX_VALUE));
                default -> throw error("'" + key + "' is no key here; there are address, cell, draining, id, started-ms, "
                        + "weight");
            }
        }
        json.endObject();
        if (id < 0 || address == null) {
            throw error("an endpoint has no " + (id < 0 ? "'id'" : "'address'"));
        }
        if (!ids.add(id)) {
            throw error("endpoint " + id + " is there twice");
        }
        return new ServerEndpoint(id, address, mode, cell, weight, started);
    }

    private long whole(String key, long most) throws IOException {
        long number = json.nextLong();
        if (number < 0 || number > most) {
            throw error("'" + key + "' is " + number + "; right would be from 0 to " + most);
        }
        return number;
    }

    private double weight() throws IOException {
        double weight = json.nextDouble();
        if (!(weight > 0) || Double.isInfinite(weight)) {
            throw error("'weight' is " + weight + "; right would be above 0");
        }
        return weight;
    }

    private InetSocketAddress address(String text) {
        try {
            return Addresses.parse(text);
        } catch (IllegalArgumentException e) {
            throw error("'address': " + e.getMessage());
        }
    }
}
