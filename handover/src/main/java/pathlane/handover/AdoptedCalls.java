package pathlane.handover;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import pathlane.core.CallController;
import pathlane.core.CallEvent;
import pathlane.core.Scheduler;
import pathlane.decision.Outcome;
import pathlane.group.Placement;
import pathlane.group.Registrar;

/**
 * The calls of ended leases that this member goes on with, from the claim of their slot until the register has settled it
 * and their former records are gone. On the loop's thread.
 */
final class AdoptedCalls implements Succession.Work {

    private static final Logger LOG = System.getLogger("group");
    /** The bus may name a server up to 9.5 s late: an adopted call's is waited for so long. */
    private static final Duration NAMED_BY = Duration.ofSeconds(10);

    private record Place(long owner, int slot) {}

    /** An attempt that was out when its owner went. */
    private record OpenAttempt(CallRecord record, Instant orphanAt) {}

    private final Terms terms;
    private final Scheduler scheduler;
    private final Registrar registrar;
    private final Links links;
    private final ReplicationLog replicationLog;
    private final ReplicaStore replicaStore;
    private final Consumer<CallEvent> handler;
    private final Map<String, OpenAttempt> openAttempts = new HashMap<>();
    /** Calls whose slot is not settled: their former records are still there. */
    private final Map<String, Place> unsettled = new HashMap<>();
    private final Map<Place, List<String>> callsOf = new HashMap<>();
    /** The last change of the own records that concerned a slot. */
    private final Map<Place, Long> changedAt = new HashMap<>();
    /** Calls whose server the list does not name yet, and until when it is waited for. */
    private final Map<String, Instant> unplaced = new LinkedHashMap<>();
    private CallController controller;

    /** {@code handler} handles an event that was stored for a call whose attempt was out. */
    AdoptedCalls(Terms terms, Scheduler scheduler, Registrar registrar, Links links, ReplicationLog replicationLog,
            ReplicaStore replicaStore, Consumer<CallEvent> handler) {
        this.terms = terms;
        this.scheduler = scheduler;
        this.registrar = registrar;
        this.links = links;
        this.replicationLog = replicationLog;
        this.replicaStore = replicaStore;
        this.handler = handler;
    }

    /** Begins; called before any call is adopted. */
    void start(CallController of) {
        controller = of;
    }

    @Override
    public void goOn(CallRecord record, long from, int slot) {
        Place place = new Place(from, slot);
        unsettled.put(record.call(), place);
        callsOf.computeIfAbsent(place, any -> new ArrayList<>()).add(record.call());
        switch (record.kind()) {
            case STANDS -> place(record, scheduler.now().plus(NAMED_BY));
            case SENT, WAITS -> goOnWithAttempt(record);
            case OWES_CALLER -> {
                over(record.call());
                controller.deliverRelease(record.call(), new AdoptedCaller(record.caller()), record.how());
            }
            case OWES_SERVER -> {
                over(record.call());
                controller.deliverServerRelease(record.call(), record.server(), record.ending());
            }
            case OVER -> {}
        }
        changedAt.put(place, replicationLog.changes());
    }

    private void goOnWithAttempt(CallRecord record) {
        Instant orphanAt = scheduler.now().plus(record.lasts()).plus(terms.orphans());
        openAttempts.put(record.call(), new OpenAttempt(record, orphanAt));
        replicationLog.put(record);
        replicaStore.take(record.call()).forEach(handler);
    }

    @Override
    public void isOver(String call, long from, int slot) {
        Place place = new Place(from, slot);
        if (place.equals(unsettled.get(call))) {
            openAttempts.remove(call);
            unplaced.remove(call);
            controller.disown(call);
            over(call);
            changedAt.put(place, replicationLog.changes());
        }
    }

    @Override
    public boolean isKept(long from, int slot) {
        return replicationLog.areKept(changedAt.getOrDefault(new Place(from, slot), 0L), slot);
    }

    @Override
    public void settled(long from, int slot) {
        Place place = new Place(from, slot);
        changedAt.remove(place);
        List<String> calls = callsOf.remove(place);
        for (String call : calls == null ? List.<String>of() : calls) {
            if (unsettled.remove(call, place)) {
                replicationLog.record(call).filter(record -> record.kind() == CallRecord.Kind.OVER)
                        .ifPresent(record -> replicationLog.drop(call));
            }
        }
    }

    @Override
    public void send(long member, PeerMessage message) {
        links.send(member, message);
    }

    /** Nothing is left to do for a call, adopted or not. */
    void over(String call) {
        replicationLog.drop(call);
        if (unsettled.containsKey(call)) {
            // Guards against a successor that would go on with it by its former owner's records.
            replicationLog.put(CallRecord.over(call));
        }
    }

    /** Whether the call's slot is not settled yet. */
    boolean isUnsettled(String call) {
        return unsettled.containsKey(call);
    }

    /** Whether an attempt of the call was out when its owner went, and nothing has come of it yet. */
    boolean hasOpenAttempt(String call) {
        return openAttempts.containsKey(call);
    }

    /** Whether the call stands at a server that the list does not name yet. */
    boolean isUnplaced(String call) {
        return unplaced.containsKey(call);
    }

    /** The call stands at a server of this controller's. */
    void stands(String call) {
        openAttempts.remove(call);
    }

    /** Resolves an open attempt by an event; false where the event is still to reach its caller. */
    boolean resolveAttempt(CallEvent event) {
        OpenAttempt attempt = openAttempts.remove(event.callId());
        if (event instanceof CallEvent.Ended) {
            replicationLog.drop(event.callId());
            return false;   // towards whichever connection from callers there is
        }
        over(event.callId());
        controller.deliverServerRelease(event.callId(), attempt.record().server(), attempt.record().ending());
        return true;
    }

    /** Looks again for servers that were not listed, and ends attempts that nobody has claimed where {@code mayEnd}. */
    void tick(boolean mayEnd) {
        Instant now = scheduler.now();
        for (String call : List.copyOf(unplaced.keySet())) {
            replicationLog.record(call).ifPresentOrElse(record -> place(record, unplaced.get(call)),
                    () -> unplaced.remove(call));
        }
        if (!mayEnd || terms.orphans().compareTo(Duration.ZERO) <= 0) {
            return;
        }
        for (OpenAttempt attempt : List.copyOf(openAttempts.values())) {
            if (attempt.orphanAt.isBefore(now)) {
                endOrphan(attempt.record);
            }
        }
    }

    /** Nobody has claimed to have this call: if it stands at its server, it stands for nobody. */
    private void endOrphan(CallRecord record) {
        openAttempts.remove(record.call());
        over(record.call());
        boolean elsewhere = replicaStore.ownerOf(record.call()).filter(registrar.seen()::isLive).isPresent();
        if (!elsewhere) {
            LOG.log(Level.INFO, "call {0} was left open by its controller; it is ended", record.call());
            controller.deliverServerRelease(record.call(), record.server(), record.ending());
            controller.deliverRelease(record.call(), new AdoptedCaller(record.caller()), Outcome.RESET);
        }
    }

    /** Goes on with a call that stands, if the list names its server. */
    private void place(CallRecord record, Instant until) {
        String call = record.call();
        replicationLog.put(record);
        if (controller.adopt(call, record.server(), new AdoptedCaller(record.caller()), record.ending())) {
            unplaced.remove(call);
            replicaStore.take(call).forEach(controller::handleOwned);
        } else if (controller.isRemoved(record.server()) || !scheduler.now().isBefore(until)) {
            unplaced.remove(call);
            over(call);
            controller.deliverRelease(call, new AdoptedCaller(record.caller()), Outcome.RESET);
        } else {
            unplaced.put(call, until);
        }
    }

    /** The slots of calls that are not settled: their owner's records are looked up in this lease's own. */
    Set<Integer> unsettledSlots() {
        Set<Integer> slots = new HashSet<>();
        unsettled.keySet().forEach(call -> slots.add(Placement.slot(call)));
        return slots;
    }

    /** The calls that others go on with once this member's lease has ended. */
    Set<String> calls() {
        Set<String> calls = new HashSet<>(unsettled.keySet());
        calls.addAll(openAttempts.keySet());
        calls.addAll(unplaced.keySet());
        return calls;
    }

    /** The lease has ended: others go on with the calls. */
    void clear() {
        unsettled.clear();
        callsOf.clear();
        changedAt.clear();
        openAttempts.clear();
        unplaced.clear();
    }
}
