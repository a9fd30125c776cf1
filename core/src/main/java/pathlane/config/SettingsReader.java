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
 * Reads {@link Settings} from JSON, as the simulator's first message and RELAY_CONFIG write them. The keys are those of the
 * operators' pages; here alone they meet the program's own terms.
 */
public final class SettingsReader {

    private static final double IDLE_TIMEOUT_MS = 600_000;
    private static final double CONNECT_TIMEOUT_MS = 500;

    private SettingsReader() {}

    /**
     * Reads the settings.
     *
     * @throws InvalidSettingException where a figure is missing or out of its range; its message names the figure
     */
    public static Settings read(JsonObject env) {
        JsonObject specifics = object(env, "specifics");
        JsonObject ceilings = object(env, "ceilings");
        boolean mustRequestServerList = env.has("discovery") && env.get("discovery").getAsString().equals("ask");
        boolean statesRetryAfter = flag(ceilings, "retry-after");
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
                statesRetryAfter ? duration(ceilings, "max-retry-after-ms", 0) : Duration.ZERO,
                env.has("cold-share") ? Optional.of(slowStartSenders(object(env, "cold-share"))) : Optional.empty());
    }

    private static List<CallClass> classes(JsonObject env, JsonObject specifics) {
        JsonArray pools = array(specifics, "skilled-pools");
        JsonArray widths = array(specifics, "class-width");
        List<CallClass> classes = new ArrayList<>();
        for (JsonElement lane : array(env, "lanes")) {
            int index = classes.size();
            List<Integer> allowedPools = new ArrayList<>();
            if (index < pools.size()) {
                pools.get(index).getAsJsonArray().forEach(pool -> allowedPools.add(pool.getAsInt()));
            }
            int slots = index < widths.size() ? widths.get(index).getAsInt() : 1;
            classes.add(callClass(lane.getAsJsonObject(), slots, allowedPools));
        }
        return classes;
    }

    private static CallClass callClass(JsonObject lane, int slots, List<Integer> allowedPools) {
        return new CallClass(
                lane.has("name") ? lane.get("name").getAsString() : "",
                duration(lane, "aim-ms", 0),
                duration(lane, "deadline-ms", 0),
                number(lane, "importance", 1),
                number(lane, "late-value", 0),
                slots,
                !lane.has("effect") || lane.get("effect").getAsString().equals("pure"),
                allowedPools);
    }

    private static Settings.Rules rules(JsonObject rules, JsonObject specifics) {
        return new Settings.Rules(
                number(rules, "cold-from", Double.NaN),
                duration(rules, "cold-ms", Double.NaN),
                number(rules, "fall-multiple", Double.NaN),
                duration(rules, "fall-ms", Double.NaN),
                duration(specifics, "clear-wait-ms", 0));
    }

    private static SlowStartSenders slowStartSenders(JsonObject share) {
        return new SlowStartSenders(
                number(share, "set-ups-per-second", Double.NaN),
                (int) number(share, "senders", 1),
                (int) number(share, "number", 0));
    }

    private static Duration duration(JsonObject from, String key, double absent) {
        double millis = number(from, key, absent);
        if (Double.isNaN(millis)) {
            throw new InvalidSettingException(key);
        }
        return Millis.toDuration(millis);
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
