package pathlane.grpc;

import com.google.gson.Gson;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import pathlane.config.Settings;
import pathlane.config.SettingsReader;

/**
 * The plug-in's configuration: the settings that every front has, and the keys that only the plug-in has.
 *
 * @param defaultClass the class of calls that have no other; if absent, the class with the lowest priority weight
 * @param classes the class by the full name of a method, such as {@code signing.Sessions/Sign}, or of a service
 * @param remembered the maximum number of failed calls that are remembered at a time to recognize their retries
 */
record PluginConfig(Settings settings, Optional<String> defaultClass, Map<String, String> classes, int remembered) {

    static final int DEFAULT_REMEMBERED_CALLS = 16_384;

    PluginConfig {
        defaultClass.ifPresent(name -> requireKnownClass(settings, name));
        classes.values().forEach(name -> requireKnownClass(settings, name));
        classes = Map.copyOf(classes);
    }

    private static void requireKnownClass(Settings settings, String name) {
        if (settings.indexOfClass(name) < 0) {
            throw new IllegalArgumentException("class '" + name + "' is not in the settings");
        }
    }

    /**
     * Reads a configuration: the object {@code settings} of every front, with an optional object {@code plug-in} that may
     * hold {@code default-class}, {@code classes} and {@code remembered}.
     *
     * @throws IllegalArgumentException if the configuration is invalid; its message says why in one sentence
     */
    static PluginConfig read(JsonObject json) {
        try {
            JsonObject pluginSection = SettingsReader.object(json, "plug-in");
            Map<String, String> classes = new HashMap<>();
            for (Map.Entry<String, JsonElement> entry : SettingsReader.object(pluginSection, "classes").entrySet()) {
                classes.put(entry.getKey(), entry.getValue().getAsString());
            }
            return new PluginConfig(SettingsReader.read(json), Optional.ofNullable(pluginSection.get("default-class"))
                    .map(JsonElement::getAsString), classes,
                    pluginSection.has("remembered") ? pluginSection.get("remembered").getAsInt() : DEFAULT_REMEMBERED_CALLS);
        } catch (IllegalArgumentException e) {
            throw e;
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("invalid configuration: " + e.getMessage(), e);
        }
    }

    /** Reads a configuration from JSON text. */
    static PluginConfig read(String json) {
        try {
            return read(JsonParser.parseString(json).getAsJsonObject());
        } catch (com.google.gson.JsonParseException | IllegalStateException e) {
            throw new IllegalArgumentException("the configuration is not a JSON object: "
                    + String.valueOf(e.getMessage()).lines().findFirst().orElse(""), e);
        }
    }

    /** Reads a configuration from gRPC's parsed form of a service config. */
    static PluginConfig read(Map<String, ?> json) {
        return read(new Gson().toJsonTree(json).getAsJsonObject());
    }

    /** Returns the index of a method's class in the settings; {@code requestedClass} is the call's own choice, or null. */
    int classOf(String method, String service, String requestedClass) {
        String name = requestedClass != null ? requestedClass : classes.get(method);
        name = name != null ? name : classes.get(service);
        name = name != null ? name : defaultClass.orElse(null);
        return name != null ? settings.indexOfClass(name) : lowestWeightClass();
    }

    private int lowestWeightClass() {
        int lowest = 0;
        for (int i = 1; i < settings.classes().size(); i++) {
            lowest = settings.classes().get(i).priorityWeight() < settings.classes().get(lowest).priorityWeight() ? i
                    : lowest;
        }
        return lowest;
    }
}
