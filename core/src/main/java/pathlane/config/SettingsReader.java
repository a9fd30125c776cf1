package pathlane.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads {@link Settings} from JSON, as the simulator's first message and RELAY_CONFIG write them. */
public final class SettingsReader {

    private static final double IDLE_CLOSE_MS = 600_000;
    private static final double DIAL_TIMEOUT_MS = 500;

    private SettingsReader() {}

    /**
     * Reads the settings.
     *
     * @throws IllegalArgumentException where a figure can't be used; its message names the figure
     */
    public static Settings read(JsonObject env) {
        JsonObject specifics = object(env, "specifics");
        JsonObject ceilings = object(env, "ceilings");
        JsonObject rules = object(env, "rules");
        JsonArray pools = array(specifics, "skilled-pools");
        JsonArray widths = array(specifics, "class-width");
        List<Settings.CallClass> classes = new ArrayList<>();
        for (JsonElement element : array(env, "lanes")) {
            JsonObject lane = element.getAsJsonObject();
            int index = classes.size();
            List<Integer> allowed = new ArrayList<>();
            if (index < pools.size()) {
                pools.get(index).getAsJsonArray().forEach(pool -> allowed.add(pool.getAsInt()));
            }
            classes.add(new Settings.CallClass(lane.has("name") ? lane.get("name").getAsString() : "",
                    span(lane, "aim-ms", 0), span(lane, "deadline-ms", 0), number(lane, "importance", 1),
                    number(lane, "late-value", 0), index < widths.size() ? widths.get(index).getAsInt() : 1,
                    !lane.has("effect") || lane.get("effect").getAsString().equals("pure"), allowed));
        }
        boolean asks = env.has("discovery") && env.get("discovery").getAsString().equals("ask");
        boolean tellsWait = flag(ceilings, "retry-after");
        return new Settings(classes,
                new Settings.Rules(number(rules, "cold-from", Double.NaN), span(rules, "cold-ms", Double.NaN),
                        number(rules, "fall-multiple", Double.NaN), span(rules, "fall-ms", Double.NaN),
                        span(specifics, "clear-wait-ms", 0)),
                (int) number(env, "balancers", 1), (int) number(ceilings, "max-attempts", 1),
                span(env, "tick-ms", 0), span(specifics, "t1-ms", 0), flag(ceilings, "cancelling"), asks,
                (int) number(specifics, "self-no", -1),
                span(ceilings, "dial-timeout-ms", DIAL_TIMEOUT_MS),
                span(ceilings, "idle-close-ms", IDLE_CLOSE_MS),
                tellsWait ? span(ceilings, "max-retry-after-ms", 0) : Duration.ZERO,
                env.has("cold-share") ? Optional.of(coldSenders(object(env, "cold-share"))) : Optional.empty());
    }

    private static Settings.ColdSenders coldSenders(JsonObject share) {
        return new Settings.ColdSenders(number(share, "set-ups-per-second", Double.NaN),
                (int) number(share, "senders", 1), (int) number(share, "number", 0));
    }

    private static Duration span(JsonObject from, String key, double absent) {
        double millis = number(from, key, absent);
        if (Double.isNaN(millis)) {
            throw new IllegalArgumentException("setting can't be used: " + key);
        }
        return Millis.span(millis);
    }

    private static boolean flag(JsonObject from, String key) {
        return from.has(key) && from.get(key).getAsBoolean();
    }

    private static double number(JsonObject from, String key, double absent) {
        return from.has(key) && !from.get(key).isJsonNull() ? from.get(key).getAsDouble() : absent;
    }

    /** The object under a key, empty where there is none. */
    public static JsonObject object(JsonObject from, String key) {
        return from.has(key) && from.get(key).isJsonObject() ? from.getAsJsonObject(key) : new JsonObject();
    }

    /** The array under a key, empty where there is none. */
    public static JsonArray array(JsonObject from, String key) {
        return from.has(key) && from.get(key).isJsonArray() ? from.getAsJsonArray(key) : new JsonArray();
    }
}
