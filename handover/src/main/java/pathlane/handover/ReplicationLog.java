package pathlane.handover;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import pathlane.core.Scheduler;
import pathlane.group.Command;
import pathlane.group.Member;
import pathlane.group.Placement;
import pathlane.group.Register;
import pathlane.group.Registrar;

/**
 * An owner's records of its calls, and their replication: which members hold a replica of each, what has yet to be sent to
 * them, and which records others may act by. On the loop's thread.
 *
 * <p>Each keeper is sent the slots that the replicated view and the newest view give it: each slot whole once, then its
 * changes in order. Once all keepers of the newest view have all their slots, the register is told to go by it, so that
 * a claim is never made by one who has less. A record is <em>shared</em> from the moment it may have reached a keeper
 * whose claim the register may take: then this owner acts on the call while its lease is valid, and not else.
 */
final class ReplicationLog {

    /** Sends messages; what is sent to a keeper that is not up is lost. */
    interface Transport {
        boolean isUp(long keeper);

        void send(long keeper, PeerMessage message);

        /** Keepers that are wanted from now on; links to others may go. */
        void wanted(Set<Long> keepers);
    }

    private static final Duration REPORT_AGAIN = Duration.ofMillis(250);
    /** Changes in one message, at most. */
    private static final int MOST_CHANGES = 500;

    private static final class Entry {
        CallRecord record;
        /** The number of its last change. */
        long change;
        /** As it was last sent; null while it never was by this lease. */
        CallRecord.Kind sent;

        /** Whether a successor would act on the call: one of which it knows an attempt alone is left to its owner. */
        boolean isShared() {
            return sent != null && sent != CallRecord.Kind.SENT && sent != CallRecord.Kind.WAITS;
        }
    }

    private static final class Feed {
        BitSet slots = new BitSet();
        /** Slots that it has had whole on the link that is up. */
        final BitSet sent = new BitSet();
        final List<PeerMessage.Change> changes = new ArrayList<>();
        long keptUpTo = -1;
        /** The last change that concerned it. */
        long due;
        long placed;
        long placedSent;
    }

    private record Waiting(long change, Set<Long> keepers, Runnable then, Scheduler.Timer timer) { }

    private final Registrar registrar;
    private final Scheduler scheduler;
    private final Duration window;
    private final Transport transport;
    private final Map<String, Entry> entries = new HashMap<>();
    private final List<Map<String, Entry>> slots = new ArrayList<>();
    private final Map<Long, Feed> feeds = new LinkedHashMap<>();
    private final Map<String, Waiting> waiting = new LinkedHashMap<>();
    private long token;
    private long changes;
    private long target = -1;
    private long replicatedViewSeen;
    /** Whether the register was ever asked to go by this lease's records. */
    private boolean replicationReported;
    private boolean reportPending;
    private boolean flushDue;
    private boolean paused;

    /** {@code window} is how long a change may wait for others to go with it. */
    ReplicationLog(Registrar registrar, Scheduler scheduler, Duration window, Transport transport) {
        this.registrar = registrar;
        this.scheduler = scheduler;
        this.window = window;
        this.transport = transport;
        for (int slot = 0; slot < Placement.SLOTS; slot++) {
            slots.add(new LinkedHashMap<>());
        }
    }

    // ---- the calls

    /** The call's record from now on. */
    void put(CallRecord record) {
        Entry entry = entries.computeIfAbsent(record.call(), call -> new Entry());
        entry.record = record;
        slots.get(Placement.slot(record.call())).put(record.call(), entry);
        change(record.call(), record, entry);
    }

    /** Nothing is left of the call. */
    void drop(String call) {
        Entry entry = entries.remove(call);
        if (entry != null) {
            slots.get(Placement.slot(call)).remove(call);
            change(call, null, entry);
        }
        Waiting one = waiting.remove(call);
        if (one != null) {
            one.timer.cancel();
            one.then.run();
        }
    }

    private void change(String call, CallRecord record, Entry entry) {
        entry.change = ++changes;
        if (token == 0) {
            return;
        }
        int slot = Placement.slot(call);
        for (Map.Entry<Long, Feed> feed : feeds.entrySet()) {
            if (feed.getValue().sent.get(slot) && transport.isUp(feed.getKey())) {
                feed.getValue().changes.add(new PeerMessage.Change(call, record));
                feed.getValue().due = changes;
                flushSoon();
            }
        }
    }

    private void flushSoon() {
        if (!flushDue) {
            flushDue = true;
            scheduler.after(window, this::flush);
        }
    }

    /** Sends what waits, at once. */
    void flush() {
        flushDue = false;
        feeds.forEach((keeper, feed) -> flush(keeper, feed));
    }

    private void flush(long keeper, Feed feed) {
        if (paused || feed.changes.isEmpty()) {
            return;
        }
        feed.changes.forEach(change -> sent(change.call()));
        List<PeerMessage.Change> all = new ArrayList<>(feed.changes);
        feed.changes.clear();
        for (int from = 0; from < all.size(); from += MOST_CHANGES) {
            int to = Math.min(all.size(), from + MOST_CHANGES);
            // Only the last part says how far it goes: what is kept of the others may lack the rest.
            transport.send(keeper, new PeerMessage.Changes(token, to == all.size() ? changes : -1, all.subList(from, to)));
        }
    }

    private void sent(String call) {
        Entry entry = entries.get(call);
        if (entry != null) {
            entry.sent = entry.record.kind();
        }
    }

    /** The lease is not valid: what changes from now on is this owner's alone, until {@link #resume} or {@link #begin}. */
    void pause() {
        paused = true;
    }

    /** The lease is valid again, and the keepers have what they had: they are sent what they missed. */
    void resume() {
        paused = false;
        feeds.forEach((keeper, feed) -> {
            if (transport.isUp(keeper)) {
                send(keeper, feed);
            }
        });
        registerChanged();
    }

    /** Whether others may act on this call by its record, should the lease have ended. */
    boolean isShared(String call) {
        Entry entry = entries.get(call);
        return replicationReported && entry != null && entry.isShared();
    }

    /** The calls that others may act on. */
    List<CallRecord> shared() {
        return entries.values().stream().filter(entry -> replicationReported && entry.isShared()).map(entry -> entry.record)
                .toList();
    }

    Optional<CallRecord> record(String call) {
        return Optional.ofNullable(entries.get(call)).map(entry -> entry.record);
    }

    /** Runs this once the call's record is at all its keepers that are up, or after so long, whichever is first. */
    void whenKept(String call, Duration most, Runnable then) {
        Entry entry = entries.get(call);
        Set<Long> keepers = new HashSet<>();
        int slot = Placement.slot(call);
        feeds.forEach((keeper, feed) -> {
            if (feed.sent.get(slot) && transport.isUp(keeper)) {
                keepers.add(keeper);
            }
        });
        if (entry == null || token == 0 || paused || keepers.isEmpty()) {
            then.run();
            return;
        }
        Scheduler.Timer timer = scheduler.after(most, () -> {
            Waiting one = waiting.remove(call);
            if (one != null) {
                one.then.run();
            }
        });
        waiting.put(call, new Waiting(entry.change, keepers, then, timer));
    }

    // ---- the lease

    /** A lease begins: nobody has any records by it yet. */
    void begin(long granted) {
        token = granted;
        feeds.clear();
        entries.values().forEach(entry -> entry.sent = null);
        paused = false;
        target = -1;
        replicatedViewSeen = 0;
        replicationReported = false;
        reportPending = false;
        registerChanged();
    }

    /** There is no lease: nothing is sent. */
    void end() {
        token = 0;
        feeds.clear();
        transport.wanted(Set.of());
        List.copyOf(waiting.values()).forEach(one -> {
            one.timer.cancel();
            one.then.run();
        });
        waiting.clear();
    }

    /** The keepers have dropped all records and will not act by them: what is here is this owner's alone. */
    void freed() {
        entries.values().forEach(entry -> entry.sent = null);
        feeds.values().forEach(feed -> {
            feed.sent.clear();
            feed.changes.clear();
            feed.placedSent = 0;
        });
    }

    /** A keeper has dropped its records: it is sent them anew, once the lease is valid. */
    void dropped(long keeper) {
        Feed feed = feeds.get(keeper);
        if (feed != null) {
            feed.keptUpTo = -1;
            feed.placed = 0;
            linkUp(keeper);
        }
    }

    /** The register was seen to change: its newest view, or the one that it goes by for this owner. */
    void registerChanged() {
        Register register = registrar.seen();
        if (token == 0 || paused || !register.isLive(token)) {
            return;
        }
        if (register.view() != target || register.replicatedView(token) != replicatedViewSeen) {
            target = register.view();
            replicatedViewSeen = register.replicatedView(token);
            place(register);
        }
        reportIfPlaced();
    }

    private void place(Register register) {
        Map<Long, BitSet> wanted = new HashMap<>();
        for (long view : replicatedViewSeen == 0 ? new long[] {target} : new long[] {replicatedViewSeen, target}) {
            for (int slot = 0; slot < Placement.SLOTS; slot++) {
                for (Member keeper : register.keepers(token, slot, view)) {
                    if (register.isLive(keeper.token())) {
                        wanted.computeIfAbsent(keeper.token(), any -> new BitSet()).set(slot);
                    }
                }
            }
        }
        for (Iterator<Map.Entry<Long, Feed>> each = feeds.entrySet().iterator(); each.hasNext(); ) {
            Map.Entry<Long, Feed> one = each.next();
            if (!wanted.containsKey(one.getKey())) {
                each.remove();
            }
        }
        wanted.forEach((keeper, places) -> {
            Feed feed = feeds.computeIfAbsent(keeper, any -> new Feed());
            feed.slots = places;
            feed.sent.and(places);
        });
        transport.wanted(wanted.keySet());
        feeds.forEach((keeper, feed) -> {
            if (transport.isUp(keeper)) {
                send(keeper, feed);
            }
        });
    }

    /** Sends the slots that it has not had on this link, then says which view they make up. */
    private void send(long keeper, Feed feed) {
        if (paused) {
            return;
        }
        flush(keeper, feed);
        for (int slot = feed.slots.nextSetBit(0); slot >= 0; slot = feed.slots.nextSetBit(slot + 1)) {
            if (!feed.sent.get(slot)) {
                feed.sent.set(slot);
                List<CallRecord> records = new ArrayList<>();
                slots.get(slot).values().forEach(entry -> {
                    entry.sent = entry.record.kind();
                    records.add(entry.record);
                });
                transport.send(keeper, new PeerMessage.Slot(token, target, slot, changes, records));
            }
        }
        if (feed.placedSent != target) {
            feed.placedSent = target;
            transport.send(keeper, new PeerMessage.Placed(token, target, changes));
            feed.due = changes;
        }
    }

    /** A link to a keeper is up, and nothing was sent on it. */
    void linkUp(long keeper) {
        Feed feed = feeds.get(keeper);
        if (feed != null && token != 0) {
            feed.sent.clear();
            feed.changes.clear();
            feed.placedSent = 0;
            send(keeper, feed);
        }
    }

    /** A keeper says how much it keeps. */
    void kept(long keeper, PeerMessage.Kept kept) {
        Feed feed = feeds.get(keeper);
        if (feed == null || kept.owner() != token) {
            return;
        }
        feed.keptUpTo = Math.max(feed.keptUpTo, kept.upTo());
        feed.placed = Math.max(feed.placed, kept.view());
        for (Iterator<Waiting> each = waiting.values().iterator(); each.hasNext(); ) {
            Waiting one = each.next();
            if (one.change <= kept.upTo()) {
                one.keepers.remove(keeper);
            }
            if (one.keepers.isEmpty()) {
                each.remove();
                one.timer.cancel();
                scheduler.after(Duration.ZERO, one.then);
            }
        }
        reportIfPlaced();
    }

    private void reportIfPlaced() {
        if (reportPending || token == 0 || feeds.isEmpty() || replicatedViewSeen >= target) {
            return;
        }
        Register register = registrar.seen();
        boolean all = true;
        for (Map.Entry<Long, Feed> one : feeds.entrySet()) {
            boolean inTarget = register.members().stream().anyMatch(member -> member.token() == one.getKey());
            all &= !inTarget || one.getValue().placed >= target;
        }
        if (!all) {
            return;
        }
        long asked = token;
        reportPending = true;
        replicationReported = true;
        registrar.ask(new Command.Replicated(asked, target), answered -> {
            if (asked == token) {
                reportPending = false;
                scheduler.after(REPORT_AGAIN, this::registerChanged);
            }
        });
    }

    /** Whether all that this owner has is kept where the register looks for it. */
    boolean isKept() {
        return feeds.entrySet().stream().allMatch(one -> !transport.isUp(one.getKey())
                || one.getValue().changes.isEmpty() && one.getValue().keptUpTo >= one.getValue().due);
    }

    /** Whether the records of these calls have reached all keepers that are up. */
    boolean areKept(long upTo, int slot) {
        return feeds.entrySet().stream().allMatch(one -> !one.getValue().slots.get(slot) || !transport.isUp(one.getKey())
                || one.getValue().keptUpTo >= upTo);
    }

    /** The members to which anything was sent by this lease, and that may act by it. */
    Set<Long> keepers() {
        return Set.copyOf(feeds.keySet());
    }

    /** The number of the last change. */
    long changes() {
        return changes;
    }

    /** Records, whether shared or not. */
    int size() {
        return entries.size();
    }

    /** Takes a call out without a word to anybody: others act on it. */
    void forget(String call) {
        if (entries.remove(call) != null) {
            slots.get(Placement.slot(call)).remove(call);
        }
    }

    void each(Consumer<CallRecord> what) {
        List.copyOf(entries.values()).forEach(entry -> what.accept(entry.record));
    }
}
