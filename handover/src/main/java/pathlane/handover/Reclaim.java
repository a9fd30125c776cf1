package pathlane.handover;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import pathlane.group.Command;
import pathlane.group.Placement;
import pathlane.group.Registrar;
import pathlane.group.Reply;

/**
 * Reclaims the calls of a lease that has ended while its process goes on: by its next lease it is granted, through the
 * register, the slots that nobody has claimed; those that somebody has are that one's. Until the register has answered,
 * nothing is done about their calls here. On the loop's thread.
 */
final class Reclaim {

    /** Receives the outcome for each call. */
    interface Listener {
        /** The present lease's token, if it is valid; else 0. */
        long validToken();

        /** Nobody has claimed it, and nobody can: it is this member's own. */
        void own(CallRecord record);

        /** Somebody has claimed it. */
        void others(String call);
    }

    private final Registrar registrar;
    private final Listener listener;
    private final Map<Long, Map<Integer, List<CallRecord>>> open = new TreeMap<>();
    private final Set<String> calls = new HashSet<>();
    private boolean asking;

    Reclaim(Registrar registrar, Listener listener) {
        this.registrar = registrar;
        this.listener = listener;
    }

    /** A lease has ended: its slots are to be taken back, whether there are calls in them or not, but for some. */
    void begin(long former, Set<Integer> without) {
        Map<Integer, List<CallRecord>> slots = new TreeMap<>();
        for (int slot = 0; slot < Placement.SLOTS; slot++) {
            if (!without.contains(slot)) {
                slots.put(slot, new ArrayList<>());
            }
        }
        if (!slots.isEmpty()) {
            open.put(former, slots);
        }
    }

    /** A call of this lease, in one of the slots that are to be taken back. */
    void add(long former, CallRecord record) {
        calls.add(record.call());
        open.get(former).get(Placement.slot(record.call())).add(record);
    }

    boolean contains(String call) {
        return calls.contains(call);
    }

    /** Asks the register for what is open, if the present lease is valid and nothing is asked. */
    void ask() {
        long token = listener.validToken();
        if (token == 0 || asking || open.isEmpty()) {
            return;
        }
        asking = true;
        List<Long> formers = List.copyOf(open.keySet());
        ask(token, formers.iterator());
    }

    private void ask(long token, Iterator<Long> formers) {
        if (!formers.hasNext()) {
            asking = false;
            return;
        }
        long former = formers.next();
        List<Integer> slots = List.copyOf(open.get(former).keySet());
        registrar.ask(new Command.Reclaim(token, former, slots), answered -> {
            if (answered.isPresent() && answered.get() instanceof Reply.Held held) {
                slots.forEach(slot -> resolve(former, slot, held.slots().contains(slot)));
            }
            ask(token, formers);
        });
    }

    private void resolve(long former, int slot, boolean back) {
        if (!back && registrar.seen().isOpen(former, slot)) {
            return;   // its records are looked up still by who goes on with others' calls: asked again
        }
        Map<Integer, List<CallRecord>> left = open.get(former);
        List<CallRecord> records = left.remove(slot);
        if (left.isEmpty()) {
            open.remove(former);
        }
        for (CallRecord record : records) {
            calls.remove(record.call());
            if (back) {
                listener.own(record);
            } else {
                listener.others(record.call());
            }
        }
    }
}
