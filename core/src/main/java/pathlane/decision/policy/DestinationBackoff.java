package pathlane.decision.policy;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import pathlane.decision.support.DestinationRecord;

/**
 * Recognises retries and backs off from busy destinations. A busy destination is busy at every server, so requests for it
 * are spaced apart; the interval doubles each time the destination is busy again, until a call to it is established.
 */
final class DestinationBackoff {

    private final double shortestLimit;
    private final Map<String, DestinationRecord> destinations = new LinkedHashMap<>();
    private double lastPurgeAt = Double.NEGATIVE_INFINITY;
    private double anyBlockedUntil = Double.NEGATIVE_INFINITY;

    DestinationBackoff(double shortestLimit) {
        this.shortestLimit = shortestLimit;
    }

    /** When the first recent unsuccessful request for this destination arrived, if that is less than a deadline ago. */
    OptionalDouble firstArrival(double now, String destination, double deadline) {
        DestinationRecord known = destinations.get(destination);
        boolean isRetry = known != null && now - known.firstArrivalAt() < deadline;
        return isRetry ? OptionalDouble.of(known.firstArrivalAt()) : OptionalDouble.empty();
    }

    /** Records that a request ended without success. */
    DestinationRecord recordFailure(double now, PendingCall call) {
        double deadline = call.callClass().deadlineMs();
        if (now - lastPurgeAt >= shortestLimit) {   // purging at each failure would cost more the more calls are rejected
            lastPurgeAt = now;
            destinations.values().removeIf(old -> old.isExpired(now, deadline));
        }
        DestinationRecord destination = destinations.computeIfAbsent(call.request().destinationOrId(),
                name -> new DestinationRecord());
        destination.recordFailure(call.firstArrivalAt());
        return destination;
    }

    void recordBusy(double now, PendingCall call) {
        DestinationRecord destination = recordFailure(now, call);
        if (destination.recordBusy(now, call.sentAt(), shortestLimit, call.callClass().deadlineMs())) {
            recordSent(now, call);
        }
    }

    void recordSuccess(PendingCall call) {
        destinations.remove(call.request().destinationOrId());
    }

    void recordSent(double now, PendingCall call) {
        DestinationRecord destination = destinations.get(call.request().destinationOrId());
        if (destination != null) {
            anyBlockedUntil = Math.max(anyBlockedUntil, destination.recordSent(now));
        }
    }

    boolean isBlocked(double now, PendingCall call) {
        DestinationRecord known = now < anyBlockedUntil ? destinations.get(call.request().destinationOrId()) : null;
        return known != null && now < known.nextSendAt();
    }
}
