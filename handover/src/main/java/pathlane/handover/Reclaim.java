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
 * Reclaims the calls of a lease that has ended while its process continues: the process asks the registry, under its next
 * lease, for the shards that no other member has claimed; claimed shards belong to their claimer. Until the registry has
 * replied, nothing is done here for the calls of these shards. Confined to the event loop thread.
 */
final class Reclaim {

    /** Receives the result for each call. */
    interface Listener {
        /** The token of the current lease if it is valid, else 0. */
        long validToken();

        /** No other member has claimed the call or can claim it: it is this member's own. */
        void reclaimed(CallRecord record);

        /** Another member has claimed the call. */
        void claimedElsewhere(String callId);
    }

    private final RegistryAccess registry;
    private final Listener listener;
    private final Map<Long, Map<Integer, List<CallRecord>>> pendingShards = new TreeMap<>();
    private final Set<String> pendingCalls = new HashSet<>();
    private boolean isRequestPending;

    Reclaim(RegistryAccess registry, Listener listener) {
        this.registry = registry;
        this.listener = listener;
    }

    /**
     * A lease has ended: all its shards but the excluded ones are to be reclaimed, whether there are calls in them or not.
     */
    void begin(long formerToken, Set<Integer> excluded) {
        Map<Integer, List<CallRecord>> shards = new TreeMap<>();
        for (int shard = 0; shard < ShardPlacement.SHARD_COUNT; shard++) {
            if (!excluded.contains(shard)) {
                shards.put(shard, new ArrayList<>());
            }
        }
        if (!shards.isEmpty()) {
            pendingShards.put(formerToken, shards);
        }
    }

    /** Adds a call of this lease, in one of the shards that are to be reclaimed. */
    void add(long formerToken, CallRecord record) {
        pendingCalls.add(record.callId());
        pendingShards.get(formerToken).get(ShardPlacement.shardOf(record.callId())).add(record);
    }

    boolean contains(String callId) {
        return pendingCalls.contains(callId);
    }

    /** Requests the pending shards from the registry, if the current lease is valid and no request is pending. */
    void requestShards() {
        long token = listener.validToken();
        if (token == 0 || isRequestPending || pendingShards.isEmpty()) {
            return;
        }
        isRequestPending = true;
        List<Long> formerTokens = List.copyOf(pendingShards.keySet());
        requestShards(token, formerTokens.iterator());
    }

    private void requestShards(long token, Iterator<Long> formerTokens) {
        if (!formerTokens.hasNext()) {
            isRequestPending = false;
            return;
        }
        long formerToken = formerTokens.next();
        List<Integer> shards = List.copyOf(pendingShards.get(formerToken).keySet());
        registry.submit(new Command.Reclaim(token, formerToken, shards), reply -> {
            if (reply.isPresent() && reply.get() instanceof Reply.Owned owned) {
                shards.forEach(shard -> resolve(formerToken, shard, owned.shards().contains(shard)));
            }
            requestShards(token, formerTokens);
        });
    }

    private void resolve(long formerToken, int shard, boolean isReclaimed) {
        if (!isReclaimed && registry.registry().isReclaimable(formerToken, shard)) {
            return;   // the adopter of others' calls still looks up the shard's records: requested again later
        }
        Map<Integer, List<CallRecord>> remaining = pendingShards.get(formerToken);
        List<CallRecord> records = remaining.remove(shard);
        if (remaining.isEmpty()) {
            pendingShards.remove(formerToken);
        }
        for (CallRecord record : records) {
            pendingCalls.remove(record.callId());
            if (isReclaimed) {
                listener.reclaimed(record);
            } else {
                listener.claimedElsewhere(record.callId());
            }
        }
    }
}
