package pathlane.platform;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/** The requests and releases for one server that wait for a connection, in the order in which they were added. */
final class PendingMessages {

    private final Map<String, byte[]> requests = new LinkedHashMap<>();
    private final Map<String, byte[]> releases = new LinkedHashMap<>();

    void addRequest(String callId, byte[] message) {
        requests.put(callId, message);
    }

    /** Removes a call's request; false if none is pending. */
    boolean removeRequest(String callId) {
        return requests.remove(callId) != null;
    }

    boolean hasRequest(String callId) {
        return requests.containsKey(callId);
    }

    /** Sends the requests of the calls for which {@code maySend} holds; the others stay pending. */
    void sendRequests(Predicate<String> maySend, BiConsumer<String, byte[]> sender) {
        List<String> remaining = requests.keySet().stream().filter(maySend.negate()).toList();
        requests.forEach((callId, message) -> {
            if (maySend.test(callId)) {
                sender.accept(callId, message);
            }
        });
        requests.keySet().retainAll(remaining);
    }

    /** Removes all requests and returns the ids of their calls. */
    List<String> removeRequests() {
        List<String> callIds = List.copyOf(requests.keySet());
        requests.clear();
        return callIds;
    }

    /** Adds a release and returns true, unless {@code maxReleases} are pending already. */
    boolean addRelease(String callId, byte[] message, int maxReleases) {
        if (releases.size() >= maxReleases) {
            return false;
        }
        releases.put(callId, message);
        return true;
    }

    boolean hasRelease(String callId) {
        return releases.containsKey(callId);
    }

    boolean hasReleases() {
        return !releases.isEmpty();
    }

    /** The pending releases by call id; a live view. */
    Map<String, byte[]> releases() {
        return releases;
    }

    void clearReleases() {
        releases.clear();
    }
}
