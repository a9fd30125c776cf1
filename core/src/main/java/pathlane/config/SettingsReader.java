package pathlane.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import pathlane.config.Settings.CallClass;
import pathlane.config.Settings.SlowStartSenders;

/**
 * Reads {@link Settings} from JSON, the format of the simulator's first message and of RELAY_CONFIG. The keys are those of
 * the external interface; this class alone maps them to the program's own terms.
 */
public final class SettingsReader {

    private static final double IDLE_TIMEOUT_MS = 600_000;
    private static final double CONNECT_TIMEOUT_MS = 500;

    private SettingsReader() {}

    /**
     * Reads the settings.
     *
     * @throws InvalidSettingException if a value is missing or out of range; its message contains the setting's name
     */
    public static Settings read(JsonObject env) {
        JsonObject specifics = object(env, "specifics");
        JsonObject ceilings = object(env, "ceilings");
        boolean mustRequestServerList = env.has("discovery") && env.get("discovery").getAsString().equals("ask");
        boolean sendsRetryAfter = flag(ceilings, "retry-after");
        return new Settings(
                classes(env, specifics),
                rules(object(env, "rules"), specifics),
                (int) number(env, "balancers", 1),
                (int) number(ceilings, "max-attempts", 1),
                duration(env, "tick-ms", 0),
                duration(specifics, "t1-ms", 0),
                flag(ceilings, "cancelling"),
                mustRequestServerList,
                (int) number(specifics, "self-no", -1),
                duration(ceilings, "dial-timeout-ms", CONNECT_TIMEOUT_MS),
                duration(ceilings, "idle-close-ms", IDLE_TIMEOUT_MS),
                sendsRetryAfter ? duration(ceilings, "max-retry-after-ms", 0) : Duration.ZERO,
                env.has("cold-share") ? Optional.of(slowStartSenders(object(env, "cold-share"))) : Optional.empty());
    }

    private static List<CallClass> classes(JsonObject env, JsonObject specifics) {
        JsonArray poolsByClass = array(specifics, "skilled-pools");
        JsonArray slotsByClass = array(specifics, "class-width");
        List<CallClass> classes = new ArrayList<>();
        for (JsonElement classJson : array(env, "lanes")) {
            int index = classes.size();
            List<Integer> allowedPools = new ArrayList<>();
            if (index < poolsByClass.size()) {
                poolsByClass.get(index).getAsJsonArray().forEach(pool -> allowedPools.add(pool.getAsInt()));
            }
            int slots = index < slotsByClass.size() ? slotsByClass.get(index).getAsInt() : 1;
            classes.add(callClass(classJson.getAsJsonObject(), slots, allowedPools));
        }
        return classes;
    }

    private static CallClass callClass(JsonObject json, int slots, List<Integer> allowedPools) {
        return new CallClass(
                json.has("name") ? json.get("name").getAsString() : "",
                duration(json, "aim-ms", 0),
                duration(json, "deadline-ms", 0),
                number(json, "importance", 1),
                number(json, "late-value", 0),
                slots,
                !json.has("effect") || json.get("effect").getAsString().equals("pure"),
                allowedPools);
    }

    private static Settings.Rules rules(JsonObject json, JsonObject specifics) {
        return new Settings.Rules(
                number(json, "cold-from", Double.NaN),
                duration(json, "cold-ms", Double.NaN),
                number(json, "fall-multiple", Double.NaN),
                duration(json, "fall-ms", Double.NaN),
                duration(specifics, "clear-wait-ms", 0));
    }

    private static SlowStartSenders slowStartSenders(JsonObject json) {
        return new SlowStartSenders(
                number(json, "set-ups-per-second", Double.NaN),
                (int) number(json, "senders", 1),
                (int) number(json, "number", 0));
    }

    private static Duration duration(JsonObject from, String key, double defaultValue) {
        double millis = number(from, key, defaultValue);
        if (Double.isNaN(millis)) {
            throw new InvalidSettingException(key);
        }
        return Millis.toDuration(millis);
    }

    private static boolean flag(JsonObject from, String key) {
        return from.has(key) && from.get(key).getAsBoolean();
    }

    private static double number(JsonObject from, String key, double defaultValue) {
        return from.has(key) && !from.get(key).isJsonNull() ? from.get(key).getAsDouble() : defaultValue;
    }

    /** Returns the object under a key, empty if there is none. */
    public static JsonObject object(JsonObject from, String key) {
        return from.has(key) && from.get(key).isJsonObject() ? from.getAsJsonObject(key) : new JsonObject();
    }

    /** Returns the array under a key, empty if there is none. */
    public static JsonArray array(JsonObject from, String key) {
        return from.has(key) && from.get(key).isJsonArray() ? from.getAsJsonArray(key) : new JsonArray();
    }
}
