package pathlane.handover;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import pathlane.core.CallEvent;

/** Events of calls that arrived while this controller may not act on them, at most one of each kind for a call. */
final class DeferredEvents {

    private final Map<String, List<CallEvent>> events = new LinkedHashMap<>();

    void defer(CallEvent event) {
        List<CallEvent> ofCall = events.computeIfAbsent(event.callId(), call -> new ArrayList<>());
        if (ofCall.stream().noneMatch(one -> one.getClass() == event.getClass())) {
            ofCall.add(event);
        }
    }

    /** Removes a call's events and returns them. */
    List<CallEvent> take(String call) {
        List<CallEvent> ofCall = events.remove(call);
        return ofCall == null ? List.of() : ofCall;
    }

    /** Hands over all events but those of calls that are to stay. */
    void forEachExcept(Predicate<String> stays, Consumer<CallEvent> receiver) {
        List<Map.Entry<String, List<CallEvent>>> all = new ArrayList<>(events.entrySet());
        events.clear();
        for (Map.Entry<String, List<CallEvent>> ofCall : all) {
            if (stays.test(ofCall.getKey())) {
                events.put(ofCall.getKey(), ofCall.getValue());
            } else {
                ofCall.getValue().forEach(receiver);
            }
        }
    }

    /** Calls with events. */
    int size() {
        return events.size();
    }
}
