package pathlane.decision.policy;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import pathlane.decision.support.DestinationRecord;

/**
 * Recognises retries, and backs off from busy destinations: those are busy at any server, so their requests are spaced, at
 * twice the interval each time the destination is busy again, until a call is established.
 */
final class DestinationBackoff {

    private final double shortestLimit;
    private final Map<String, DestinationRecord> destinations = new LinkedHashMap<>();
    private double purgedAt = Double.NEGATIVE_INFINITY;
    private double anyBlockedUntil = Double.NEGATIVE_INFINITY;

    DestinationBackoff(double shortestLimit) {
        this.shortestLimit = shortestLimit;
    }

    /** When the first of the lately unsuccessful requests for this destination came, if that is under a deadline ago. */
    OptionalDouble firstArrival(double now, String destination, double deadline) {
        DestinationRecord known = destinations.get(destination);
        boolean isRetry = known != null && now - known.firstArrivalAt() < deadline;
        return isRetry ? OptionalDouble.of(known.firstArrivalAt()) : OptionalDouble.empty();
    }

    /** A request ended without success. */
    DestinationRecord recordFailure(double now, PendingCall call) {
        double deadline = call.callClass().deadlineMs();
        if (now - purgedAt >= shortestLimit) {   // seldom, or it would cost the more the more clients are rejected
            purgedAt = now;
            destinations.values().removeIf(old -> old.isExpired(now, deadline));
        }
        DestinationRecord destination = destinations.computeIfAbsent(call.request().destinationOrId(),
                name -> new DestinationRecord());
        destination.failed(call.firstArrivalAt());
        return destination;
    }

    void recordBusy(double now, PendingCall call) {
        DestinationRecord destination = recordFailure(now, call);
        if (destination.busy(now, call.sentAt(), shortestLimit, call.callClass().deadlineMs())) {
            recordSent(now, call);
        }
    }

    void recordSuccess(PendingCall call) {
        destinations.remove(call.request().destinationOrId());
    }

    void recordSent(double now, PendingCall call) {
        DestinationRecord destination = destinations.get(call.request().destinationOrId());
        if (destination != null) {
            anyBlockedUntil = Math.max(anyBlockedUntil, destination.pass(now));
        }
    }

    boolean isBlocked(double now, PendingCall call) {
        DestinationRecord known = now < anyBlockedUntil ? destinations.get(call.request().destinationOrId()) : null;
        return known != null && now < known.nextPassAt();
    }
}
