package pathlane.handover;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import pathlane.core.CallEvent;

/** Events of calls that arrived while this controller must not act on the calls, at most one of each kind per call. */
final class DeferredEvents {

    private final Map<String, List<CallEvent>> events = new LinkedHashMap<>();

    void defer(CallEvent event) {
        List<CallEvent> callEvents = events.computeIfAbsent(event.callId(), callId -> new ArrayList<>());
        if (callEvents.stream().noneMatch(stored -> stored.getClass() == event.getClass())) {
            callEvents.add(event);
        }
    }

    /** Removes a call's events and returns them. */
    List<CallEvent> take(String callId) {
        List<CallEvent> callEvents = events.remove(callId);
        return callEvents == null ? List.of() : callEvents;
    }

    /** Removes the events and passes them to the receiver, except for those of calls that are to be kept. */
    void drainExcept(Predicate<String> isKept, Consumer<CallEvent> receiver) {
        List<Map.Entry<String, List<CallEvent>>> all = new ArrayList<>(events.entrySet());
        events.clear();
        for (Map.Entry<String, List<CallEvent>> callEvents : all) {
            if (isKept.test(callEvents.getKey())) {
                events.put(callEvents.getKey(), callEvents.getValue());
            } else {
                callEvents.getValue().forEach(receiver);
            }
        }
    }

    /** The number of calls with events. */
    int size() {
        return events.size();
    }
}
