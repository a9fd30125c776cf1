package pathlane.platform;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/** The set-ups and releases for one server that wait for a connection, in the order in which they came. */
final class PendingMessages {

    private final Map<String, byte[]> setUps = new LinkedHashMap<>();
    private final Map<String, byte[]> releases = new LinkedHashMap<>();

    void addSetUp(String call, byte[] message) {
        setUps.put(call, message);
    }

    /** Removes a call's set-up; false where none waits. */
    boolean removeSetUp(String call) {
        return setUps.remove(call) != null;
    }

    boolean hasSetUp(String call) {
        return setUps.containsKey(call);
    }

    /** Hands over the set-ups of the calls that {@code mayLeave}; the others go on waiting. */
    void sendSetUps(Predicate<String> mayLeave, BiConsumer<String, byte[]> send) {
        List<String> staying = setUps.keySet().stream().filter(mayLeave.negate()).toList();
        setUps.forEach((call, message) -> {
            if (mayLeave.test(call)) {
                send.accept(call, message);
            }
        });
        setUps.keySet().retainAll(staying);
    }

    /** Removes all set-ups and returns the ids of their calls. */
    List<String> removeSetUps() {
        List<String> calls = List.copyOf(setUps.keySet());
        setUps.clear();
        return calls;
    }

    /** Adds a release unless as many as {@code most} wait already; whether it was added. */
    boolean addRelease(String call, byte[] message, int most) {
        if (releases.size() >= most) {
            return false;
        }
        releases.put(call, message);
        return true;
    }

    boolean hasRelease(String call) {
        return releases.containsKey(call);
    }

    boolean hasReleases() {
        return !releases.isEmpty();
    }

    /** The releases that wait, by call; a view. */
    Map<String, byte[]> releases() {
        return releases;
    }

    void clearReleases() {
        releases.clear();
    }
}
