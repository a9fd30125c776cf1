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
 * A complete catalogue as a JSON file, for a source without an event bus:
 * {@code {"services": {NAME: {"configuration": TEXT, "endpoints": [{"id": 7, "address": "127.0.0.1:7000",
 * "draining": false, "cell": 0, "weight": 1, "started-ms": 0}]}}}}; all fields but id and address are optional. Read as
 * a stream, since a catalogue has tens of thousands of endpoints.
 */
final class CatalogueFile {

    private static final long MAX_ID = 0xffffffffL;
    private static final int MAX_CELL = 0xffff;

    /** The endpoints and the configuration of one service. */
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
     * @throws IllegalArgumentException if the file is invalid, with a one-sentence message that names file and line
     */
    static Map<String, Content> read(Path file) {
        try (JsonReader json = new JsonReader(Files.newBufferedReader(file, StandardCharsets.UTF_8))) {
            return new CatalogueFile(file, json).services();
        } catch (MalformedJsonException e) {
            throw new IllegalArgumentException(file + ": " + e.getMessage().lines().findFirst().orElse(""), e);
        } catch (IOException e) {
            throw new IllegalArgumentException("the catalogue " + file + " cannot be read", e);
        }
    }

    /** Returns an error prefixed with the file and the reader's current position. */
    private IllegalArgumentException error(String sentence) {
        // The reader exposes its position only through toString: "JsonReader at line 3 column 9 path $.services".
        String position = json.toString().replaceFirst("^JsonReader at ", "").replaceFirst(" column .*$", "");
        return new IllegalArgumentException(file + " " + position + ": " + sentence);
    }

    private Map<String, Content> services() throws IOException {
        Map<String, Content> services = new TreeMap<>();
        try {
            json.beginObject();
            while (json.hasNext()) {
                String key = json.nextName();
                if (!key.equals("services")) {
                    throw error("'" + key + "' is not a known key; known keys: 'services'");
                }
                json.beginObject();
                while (json.hasNext()) {
                    service(services);
                }
                json.endObject();
            }
            json.endObject();
        } catch (IllegalStateException | NumberFormatException e) {
            throw error("unexpected JSON value: " + e.getMessage().lines().findFirst().orElse(""));
        }
        return services;
    }

    private void service(Map<String, Content> services) throws IOException {
        String name = json.nextName();
        if (name.isEmpty() || name.getBytes(StandardCharsets.UTF_8).length > CatalogueLimits.MAX_NAME_BYTES) {
            throw error("'" + name + "' is not a valid service name; expected 1 to " + CatalogueLimits.MAX_NAME_BYTES
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
                default -> throw error("'" + key + "' is not a known key; known keys: configuration, endpoints");
            }
        }
        json.endObject();
        if (endpoints.size() > CatalogueLimits.MAX_ENDPOINTS) {
            throw error("service '" + name + "' has " + endpoints.size() + " endpoints; expected "
                    + CatalogueLimits.MAX_ENDPOINTS + " at most");
        }
        endpoints.sort(Comparator.comparingLong(ServerEndpoint::id));
        if (services.put(name, new Content(List.copyOf(endpoints), configuration)) != null) {
            throw error("service '" + name + "' is listed twice");
        }
    }

    private String configuration() throws IOException {
        String text = json.nextString();
        if (text.length() > CatalogueLimits.MAX_CONFIGURATION_LENGTH) {
            throw error("a configuration of " + text.length() + " characters; expected "
                    + CatalogueLimits.MAX_CONFIGURATION_LENGTH + " at most");
        }
        return text;
    }

    private ServerEndpoint endpoint() throws IOException {
        long id = -1;
        InetSocketAddress address = null;
        ServerStatus status = ServerStatus.RUNNING;
        int cell = 0;
        double weight = 1;
        Instant started = Instant.EPOCH;
        json.beginObject();
        while (json.hasNext()) {
            String key = json.nextName();
            switch (key) {
                case "id" -> id = integer(key, MAX_ID);
                case "address" -> address = address(json.nextString());
                case "draining" -> status = json.nextBoolean() ? ServerStatus.DRAINING : ServerStatus.RUNNING;
                case "cell" -> cell = (int) integer(key, MAX_CELL);
                case "weight" -> weight = weight();
                case "started-ms" -> started = Instant.ofEpochMilli(integer(key, Long.MAX_VALUE));
                default ->
                    throw error("'" + key + "' is not a known key; known keys: address, cell, draining, id, started-ms, "
                            + "weight");
            }
        }
        json.endObject();
        if (id < 0 || address == null) {
            throw error("an endpoint has no " + (id < 0 ? "'id'" : "'address'"));
        }
        if (!ids.add(id)) {
            throw error("endpoint " + id + " is listed twice");
        }
        return new ServerEndpoint(id, address, status, cell, weight, started);
    }

    private long integer(String key, long max) throws IOException {
        long number = json.nextLong();
        if (number < 0 || number > max) {
            throw error("'" + key + "' is " + number + "; expected a value from 0 to " + max);
        }
        return number;
    }

    private double weight() throws IOException {
        double weight = json.nextDouble();
        if (!(weight > 0) || Double.isInfinite(weight)) {
            throw error("'weight' is " + weight + "; expected a value above 0");
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
