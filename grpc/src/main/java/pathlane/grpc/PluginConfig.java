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
 * What the plug-in is told: the settings that every front has, and what only it needs.
 *
 * @param defaultClass the class of calls of which nothing else says it; where absent, the one worth the least
 * @param classes the class by a method's full name, such as {@code signing.Sessions/Sign}, or by a service's
 * @param remembered calls that ended in vain and are remembered at once, at most, to know their retries
 */
record PluginConfig(Settings settings, Optional<String> defaultClass, Map<String, String> classes, int remembered) {

    static final int REMEMBERED = 16_384;

    PluginConfig {
        defaultClass.ifPresent(name -> known(settings, name));
        classes.values().forEach(name -> known(settings, name));
        classes = Map.copyOf(classes);
    }

    private static void known(Settings settings, String name) {
        if (settings.indexOfClass(name) < 0) {
            throw new IllegalArgumentException("class '" + name + "' is not in the settings");
        }
    }

    /**
     * Reads a configuration: the object {@code settings} of every front, with an object {@code plug-in} beside its
     * own keys, which may hold {@code default-class}, {@code classes} and {@code remembered}.
     *
     * @throws IllegalArgumentException with one plain sentence where it can't be used
     */
    static PluginConfig read(JsonObject json) {
        try {
            JsonObject own = SettingsReader.object(json, "plug-in");
            Map<String, String> classes = new HashMap<>();
            for (Map.Entry<String, JsonElement> entry : SettingsReader.object(own, "classes").entrySet()) {
                classes.put(entry.getKey(), entry.getValue().getAsString());
            }
            return new PluginConfig(SettingsReader.read(json), Optional.ofNullable(own.get("default-class"))
                    .map(JsonElement::getAsString), classes,
                    own.has("remembered") ? own.get("remembered").getAsInt() : REMEMBERED);
        } catch (IllegalArgumentException e) {
            throw e;
        } catch (RuntimeException e) {
            throw new IllegalArgumentException("the configuration can't be used: " + e.getMessage(), e);
        }
    }

    /** The same from text. */
    static PluginConfig read(String json) {
        try {
            return read(JsonParser.parseString(json).getAsJsonObject());
        } catch (com.google.gson.JsonParseException | IllegalStateException e) {
            throw new IllegalArgumentException("the configuration is no JSON object: "
                    + String.valueOf(e.getMessage()).lines().findFirst().orElse(""), e);
        }
    }

    /** The same from what gRPC made of a service config. */
    static PluginConfig read(Map<String, ?> json) {
        return read(new Gson().toJsonTree(json).getAsJsonObject());
    }

    /** The place of a method's class in the settings; {@code named} is what the call itself says, or null. */
    int classOf(String method, String service, String named) {
        String name = named != null ? named : classes.get(method);
        name = name != null ? name : classes.get(service);
        name = name != null ? name : defaultClass.orElse(null);
        return name != null ? settings.indexOfClass(name) : cheapest();
    }

    private int cheapest() {
        int cheapest = 0;
        for (int i = 1; i < settings.classes().size(); i++) {
            cheapest = settings.classes().get(i).priorityWeight() < settings.classes().get(cheapest).priorityWeight() ? i
                    : cheapest;
        }
        return cheapest;
    }
}
