package pathlane.handover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pathlane.group.Member;
import pathlane.group.Placement;
import pathlane.group.Register;
import pathlane.group.Registrar;

/**
 * Calls of a lease that has ended whose records were sent and never acknowledged: somebody goes on with them, or nobody
 * has ever heard of them. Until all who could know have said that they don't, this member does nothing about them. On the
 * loop's thread.
 */
final class Doubts {

    /** What comes of it. */
    interface Out {
        long self();

        void send(long member, PeerMessage message);

        /** Nobody has a record: the call is this member's own. */
        void own(CallRecord record);

        /** Somebody has one. */
        void others(String call);
    }

    private static final class Doubt {
        final CallRecord record;
        final long owner;
        int awaited;

        Doubt(CallRecord record, long owner) {
            this.record = record;
            this.owner = owner;
        }
    }

    private final Registrar registrar;
    private final Out out;
    private final Map<String, Doubt> open = new LinkedHashMap<>();
    private final Map<Long, Doubt> asked = new HashMap<>();
    private long asks;

    Doubts(Registrar registrar, Out out) {
        this.registrar = registrar;
        this.out = out;
    }

    /** A call of this lease may be others' by now. */
    void add(CallRecord record, long owner) {
        open.put(record.call(), new Doubt(record, owner));
    }

    boolean contains(String call) {
        return open.containsKey(call);
    }

    /** Asks again about all that is open; answers to earlier questions count no more. */
    void ask() {
        asked.clear();
        if (out.self() == 0) {
            return;
        }
        Register register = registrar.seen();
        for (Doubt doubt : List.copyOf(open.values())) {
            int slot = Placement.slot(doubt.record.call());
            List<Member> members = new ArrayList<>(Placement.keepers(slot, register.members(), out.self(),
                    register.copies() + 1));
            register.estate(doubt.owner).ifPresent(estate -> register.heirs(estate, slot).stream()
                    .filter(heir -> heir.token() != out.self() && !members.contains(heir)).forEach(members::add));
            if (members.isEmpty()) {
                resolve(doubt, false);
                continue;
            }
            long ask = -(++asks);   // answers to what was told have numbers above nought
            doubt.awaited = members.size();
            asked.put(ask, doubt);
            members.forEach(member -> out.send(member.token(), new PeerMessage.Asked(ask, doubt.record.call())));
        }
    }

    /** A member's word. */
    void known(PeerMessage.Known known) {
        Doubt doubt = asked.get(known.ask());
        if (doubt != null && (known.known() || --doubt.awaited == 0)) {
            asked.remove(known.ask());
            resolve(doubt, known.known());
        }
    }

    private void resolve(Doubt doubt, boolean others) {
        if (open.remove(doubt.record.call(), doubt)) {
            if (others) {
                out.others(doubt.record.call());
            } else {
                out.own(doubt.record);
            }
        }
    }
}
