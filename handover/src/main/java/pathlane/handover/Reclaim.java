package pathlane.handover;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import pathlane.group.Command;
import pathlane.group.RegistryAccess;
import pathlane.group.Reply;
import pathlane.group.ShardPlacement;

/**
 * Reclaims the calls of a lease that has ended while its process goes on: by its next lease it is granted, through the
 * register, the shards that nobody has claimed; those that somebody has are that one's. Until the register has answered,
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

    private final RegistryAccess registry;
    private final Listener listener;
    private final Map<Long, Map<Integer, List<CallRecord>>> open = new TreeMap<>();
    private final Set<String> calls = new HashSet<>();
    private boolean asking;

    Reclaim(RegistryAccess registry, Listener listener) {
        this.registry = registry;
        this.listener = listener;
    }

    /** A lease has ended: its shards are to be taken back, whether there are calls in them or not, but for some. */
    void begin(long former, Set<Integer> without) {
        Map<Integer, List<CallRecord>> shards = new TreeMap<>();
        for (int shard = 0; shard < ShardPlacement.SHARDS; shard++) {
            if (!without.contains(shard)) {
                shards.put(shard, new ArrayList<>());
            }
        }
        if (!shards.isEmpty()) {
            open.put(former, shards);
        }
    }

    /** A call of this lease, in one of the shards that are to be taken back. */
    void add(long former, CallRecord record) {
        calls.add(record.callId());
        open.get(former).get(ShardPlacement.shardOf(record.callId())).add(record);
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
        List<Integer> shards = List.copyOf(open.get(former).keySet());
        registry.submit(new Command.Reclaim(token, former, shards), answered -> {
            if (answered.isPresent() && answered.get() instanceof Reply.Owned held) {
                shards.forEach(shard -> resolve(former, shard, held.shards().contains(shard)));
            }
            ask(token, formers);
        });
    }

    private void resolve(long former, int shard, boolean back) {
        if (!back && registry.registry().isReclaimable(former, shard)) {
            return;   // its records are looked up still by who goes on with others' calls: asked again
        }
        Map<Integer, List<CallRecord>> left = open.get(former);
        List<CallRecord> records = left.remove(shard);
        if (left.isEmpty()) {
            open.remove(former);
        }
        for (CallRecord record : records) {
            calls.remove(record.callId());
            if (back) {
                listener.own(record);
            } else {
                listener.others(record.callId());
            }
        }
    }
}
