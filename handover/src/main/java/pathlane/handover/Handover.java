package pathlane.handover;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import pathlane.core.CallController;
import pathlane.core.CallEvent;
import pathlane.core.CallReplication;
import pathlane.core.CallerPort;
import pathlane.core.Scheduler;
import pathlane.decision.Gateway.Ending;
import pathlane.group.LeaseHolder;
import pathlane.group.Placement;
import pathlane.group.Register;
import pathlane.group.RegisterClient;
import pathlane.group.Registrar;
import pathlane.group.SealedLink;
import pathlane.link.Dialer;
import pathlane.link.Protocol;
import pathlane.link.RateLimit;

/**
 * One controller's part in a group whose members go on with each other's calls: its lease, its records at others, what it
 * keeps for others, and what it takes over. On the loop's thread.
 *
 * <p>Rule: it writes something that concerns a call others may act on only while its lease is valid ({@link #mayAct}).
 */
public final class Handover implements CallReplication, LeaseHolder.Listener {

    private static final Logger LOG = System.getLogger("group");
    private static final byte[] NOTHING = {};
    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration REGISTER_SETTLES = Duration.ofMillis(50);
    private static final Duration FLUSH_MOST = Duration.ofMillis(500);
    private static final Duration LEAVE_MOST = Duration.ofSeconds(1);
    private static final Duration LAST_WORDS = Duration.ofMillis(100);
    /** The bus may name a server up to 9.5 s late: an adopted call's is waited for so long. */
    private static final Duration NAMED_BY = Duration.ofSeconds(10);
    /** Things that happened to calls that are not known here: so many at once, and one more each so often. */
    private static final int ORPHANED_EVENTS_AT_ONCE = 1_000;
    private static final Duration ORPHANED_EVENT_EVERY = Duration.ofMillis(2);

    private record Place(long owner, int slot) { }

    /** An attempt that was out when its owner went. */
    private record Loose(CallRecord record, Instant orphanAt) { }

    private final Terms terms;
    private final Scheduler scheduler;
    private final Registrar registrar;
    private final RegisterClient client;
    private final LeaseHolder leaseHolder;
    private final Links links;
    private final ReplicationLog replicationLog;
    private final ReplicaStore replicaStore;
    private final Succession succession;
    private final OrphanedEvents orphanedEvents;
    private final Reclaim reclaim;
    private final RateLimit orphanedEventLimit;
    private final Map<String, List<CallEvent>> parked = new LinkedHashMap<>();
    private final Map<String, Loose> loose = new HashMap<>();
    /** Calls gone on with whose slot is not settled: their former records are still there. */
    private final Map<String, Place> unsettled = new HashMap<>();
    private final Map<Place, List<String>> wentOn = new HashMap<>();
    private final Map<Place, Long> wentOnAt = new HashMap<>();
    /** Calls whose server the list does not name yet, and until when it is waited for. */
    private final Map<String, Instant> unplaced = new LinkedHashMap<>();
    private final Set<Long> freedBy = new HashSet<>();
    private CallController controller;
    private boolean registerChanged;
    private boolean leaving;
    private boolean stopped;

    /**
     * Starts nothing yet.
     *
     * @param incarnation drawn anew at each start of the process
     * @param voters where the register's voters are reached
     * @param nanos the monotonic clock
     */
    public Handover(Terms terms, long incarnation, List<InetSocketAddress> voters, Dialer dialer,
                    SealedLink.Common common, LongSupplier nanos) {
        this.terms = terms;
        this.scheduler = common.scheduler();
        this.client = new RegisterClient(voters, dialer, common, this::registerChanged);
        this.registrar = client;
        this.leaseHolder =
                new LeaseHolder(terms.name(), incarnation, terms.address(), terms.copies(), terms.lease(), client, scheduler,
                        nanos, this);
        this.replicaStore = new ReplicaStore(scheduler, terms.clearWait());
        this.links = new Links(dialer, common, client, leaseHolder::token, new Incoming());
        this.replicationLog = new ReplicationLog(client, scheduler, terms.window(), new LogTransport());
        this.succession = new Succession(client, leaseHolder, scheduler, replicaStore, terms.pace(), new SuccessionWork());
        this.orphanedEvents = new OrphanedEvents(client, scheduler, replicaStore, new OrphanedEventPeers());
        this.reclaim = new Reclaim(client, new ReclaimListener());
        this.orphanedEventLimit = new RateLimit(ORPHANED_EVENTS_AT_ONCE, ORPHANED_EVENT_EVERY, scheduler);
    }

    /** Begins; the controller is the one that replicates its calls by this. */
    public void start(CallController of) {
        controller = of;
        client.start();
        leaseHolder.start();
        tick();
    }

    /** The state machine for a connection that another member has opened. */
    public Protocol accept() {
        return links.accept();
    }

    /** A planned end: what is left is handed over at once; {@code done} runs when that is said, or can't be. */
    public void leave(Runnable done) {
        if (leaving) {
            return;
        }
        leaving = true;
        replicationLog.flush();
        leaveOnceKept(scheduler.now().plus(FLUSH_MOST), done);
    }

    private void leaveOnceKept(Instant until, Runnable done) {
        if (leaseHolder.isValid() && !replicationLog.isKept() && scheduler.now().isBefore(until)) {
            scheduler.after(terms.window().plusMillis(1), () -> leaveOnceKept(until, done));
            return;
        }
        long token = leaseHolder.token();
        LOG.log(Level.INFO, "leaves the group: {0} calls are handed over", Integer.toString(replicationLog.shared().size()));
        leaseHolder.leave();
        awaitLeft(token, scheduler.now().plus(LEAVE_MOST), done);
    }

    private void awaitLeft(long token, Instant until, Runnable done) {
        if (token != 0 && registrar.seen().isLive(token) && scheduler.now().isBefore(until)) {
            scheduler.after(Duration.ofMillis(10), () -> awaitLeft(token, until, done));
            return;
        }
        passOnParked();
        scheduler.after(LAST_WORDS, () -> {
            stop();
            done.run();
        });
    }

    /** Ends without a word. */
    public void stop() {
        stopped = true;
        client.stop();
        links.stop();
    }

    /** What there is to see, as a line for the log. */
    public String line() {
        return "lease=" + leaseHolder.token() + " sure=" + leaseHolder.isValid() + " covered=" + isReplicated() + " members="
                + registrar.seen().members().size()
                + " records=" + replicationLog.size() + " keeps=" + replicaStore.size() + " taken_over="
                + succession.adopted()
                + " parked=" + parked.size();
    }

    /** The lease's token; 0 while there is none. */
    public long token() {
        return leaseHolder.token();
    }

    /** Whether the lease is valid. */
    public boolean isLeaseValid() {
        return leaseHolder.isValid();
    }

    /** Whether all of this controller's records are where the register looks for them. */
    public boolean isReplicated() {
        Register register = registrar.seen();
        return leaseHolder.isValid() && register.replicatedView(leaseHolder.token()) == register.view()
                && replicationLog.isKept();
    }

    /** The register as it was last seen. */
    public Register register() {
        return registrar.seen();
    }

    /** What is left to do for a call by what is known here, its own or another's; empty where nothing is. */
    public Optional<CallRecord.Kind> knows(String call) {
        return replicationLog.record(call).map(CallRecord::kind).or(() -> replicaStore.kindOf(call));
    }

    /** Calls of others that this one went on with. */
    public long adopted() {
        return succession.adopted();
    }

    // ---- from the life of a call

    @Override
    public void sent(String call, long server, Duration patience, CallerPort caller, Supplier<byte[]> ending) {
        replicationLog.put(CallRecord.sent(call, server, caller.key(), patience, ending.get()));
    }

    @Override
    public void attemptOver(String call, long server, Duration wait, CallerPort caller) {
        replicationLog.put(CallRecord.waits(call, server, caller.key(), wait, ending(call)));
    }

    @Override
    public void stands(String call, long server, CallerPort caller) {
        loose.remove(call);
        replicationLog.put(CallRecord.stands(call, server, caller.key(), ending(call)));
    }

    private byte[] ending(String call) {
        return replicationLog.record(call).map(CallRecord::ending).orElse(NOTHING);
    }

    @Override
    public void answer(String call, int callClass, Runnable write) {
        if (terms.waiting().contains(callClass) && leaseHolder.isValid()) {
            replicationLog.whenKept(call, terms.waitMost(), write);
        } else {
            write.run();
        }
    }

    @Override
    public void owesCaller(String call, CallerPort caller, Ending how) {
        replicationLog.put(CallRecord.owesCaller(call, caller == null ? "" : caller.key(), how));
    }

    @Override
    public void owesServer(String call, long server, byte[] ending) {
        replicationLog.put(CallRecord.owesServer(call, server, ending));
    }

    @Override
    public void over(String call) {
        if (unsettled.containsKey(call)) {
            // Guards against a successor that would go on with it by its former owner's records.
            replicationLog.drop(call);
            replicationLog.put(CallRecord.over(call));
        } else {
            replicationLog.drop(call);
        }
    }

    @Override
    public boolean mayAct(String call) {
        return !isOpen(call)
                && (leaseHolder.isValid() || !replicationLog.isShared(call) && !unsettled.containsKey(call));
    }

    /** Whether it is not known yet if this member's own lease, which ended, left it the call. */
    private boolean isOpen(String call) {
        return reclaim.contains(call);
    }

    @Override
    public void park(CallEvent event) {
        List<CallEvent> all = parked.computeIfAbsent(event.call(), call -> new ArrayList<>());
        if (all.stream().noneMatch(one -> one.getClass() == event.getClass())) {
            all.add(event);
        }
    }

    @Override
    public boolean seesTo(CallEvent event) {
        Loose attempt = loose.remove(event.call());
        if (attempt != null) {
            if (event instanceof CallEvent.Ended) {
                replicationLog.drop(event.call());
                return false;   // towards whichever connection from callers there is
            }
            over(event.call());
            controller.owedToServer(event.call(), attempt.record().server(), attempt.record().ending());
            return true;
        }
        if (registrar.seen().members().size() < 2 || !orphanedEventLimit.take()) {
            return false;
        }
        orphanedEvents.tell(event);
        return true;
    }

    @Override
    public Duration heldBack(String call) {
        return replicaStore.heldBack(call);
    }

    // ---- from the lease

    @Override
    public void granted(long token) {
        freedBy.clear();
        replicationLog.begin(token);
        succession.look();
        reclaim.ask();
        replayParked();
    }

    @Override
    public void lapsed() {
        replicationLog.pause();
        freedBy.clear();
        askToFree();
    }

    /** Guards calls against a group that can't agree: once no keeper will act on them, this controller may. */
    private void askToFree() {
        if (!leaseHolder.hasLapsed() || stopped) {
            return;
        }
        long owner = leaseHolder.token();
        replicationLog.keepers().stream().filter(keeper -> !freedBy.contains(keeper))
                .forEach(keeper -> links.send(keeper, new PeerMessage.Free(owner)));
        scheduler.after(TICK, this::askToFree);
    }

    private void freed(long by, PeerMessage.Freed freed) {
        if (!freed.free() || freed.owner() != leaseHolder.token()) {
            return;
        }
        // Also where the lease is valid again by now: what the keeper dropped is not replicated before it has it anew.
        replicationLog.dropped(by);
        if (!leaseHolder.hasLapsed()) {
            return;
        }
        freedBy.add(by);
        if (freedBy.containsAll(replicationLog.keepers())) {
            LOG.log(Level.INFO, "no agreement can be reached; all keepers have dropped their records, and calls are served "
                    + "uncovered");
            leaseHolder.emptied();
            replicationLog.freed();
            replayParked();
        }
    }

    @Override
    public void validAgain() {
        replicationLog.resume();
        replayParked();
    }

    @Override
    public void lost(long token) {
        List<CallRecord> others = replicationLog.shared();
        Set<String> gone = new HashSet<>(unsettled.keySet());
        // What was taken over and not settled is looked up in this lease's records: its slots are others'.
        Set<Integer> unsettledSlots = new HashSet<>();
        unsettled.keySet().forEach(call -> unsettledSlots.add(Placement.slot(call)));
        reclaim.begin(token, unsettledSlots);
        int open = 0;
        for (CallRecord record : others) {
            if (unsettledSlots.contains(Placement.slot(record.call()))) {
                gone.add(record.call());
            } else {
                reclaim.add(token, record);
                replicationLog.forget(record.call());
                if (record.kind() != CallRecord.Kind.STANDS) {
                    controller.disown(record.call());   // what is owed is not told before it is known whose it is
                }
                open++;
            }
        }
        gone.addAll(loose.keySet());
        gone.addAll(unplaced.keySet());
        LOG.log(Level.WARNING, "others act on {0} calls from now on; {1} are taken back if nobody has claimed them",
                Integer.toString(gone.size()), Integer.toString(open));
        gone.forEach(call -> {
            controller.disown(call);
            replicationLog.forget(call);
        });
        replicationLog.end();
        succession.stop();
        unsettled.clear();
        wentOn.clear();
        wentOnAt.clear();
        loose.clear();
        unplaced.clear();
        passOnParked();
    }

    /** What happened while this controller could not act goes to whoever can. */
    private void passOnParked() {
        List<Map.Entry<String, List<CallEvent>>> all = new ArrayList<>(parked.entrySet());
        parked.clear();
        for (Map.Entry<String, List<CallEvent>> one : all) {
            if (isOpen(one.getKey()) && !leaving) {
                parked.put(one.getKey(), one.getValue());
            } else {
                one.getValue().forEach(orphanedEvents::tell);
            }
        }
    }

    private void replayParked() {
        List<List<CallEvent>> all = List.copyOf(parked.values());
        parked.clear();
        all.forEach(events -> events.forEach(controller::happened));
    }

    // ---- from the register and the clock

    private void registerChanged() {
        if (!registerChanged) {
            registerChanged = true;
            // Many may come at once; what is in between concerns nobody.
            scheduler.after(REGISTER_SETTLES, this::lookAtRegister);
        }
        Register register = registrar.seen();
        if (leaseHolder.token() != 0 && !register.isLive(leaseHolder.token())
                && register.lastToken() >= leaseHolder.token()) {
            leaseHolder.seenEnded(leaseHolder.token());
        }
    }

    private void lookAtRegister() {
        registerChanged = false;
        // What was kept for whoever would act goes the round again: who acts now is not told by records kept here.
        List<CallEvent> left = replicaStore.prune(registrar.seen(), leaseHolder.token());
        replicationLog.registerChanged();
        succession.look();
        orphanedEvents.deliver();
        left.forEach(orphanedEvents::tell);
    }

    private void tick() {
        if (stopped) {
            return;
        }
        Instant now = scheduler.now();
        for (String call : List.copyOf(unplaced.keySet())) {
            replicationLog.record(call).ifPresentOrElse(record -> place(record, unplaced.get(call)),
                    () -> unplaced.remove(call));
        }
        if (terms.orphans().compareTo(Duration.ZERO) > 0 && leaseHolder.isValid()) {
            for (Loose one : List.copyOf(loose.values())) {
                if (one.orphanAt.isBefore(now)) {
                    endOrphan(one.record);
                }
            }
        }
        orphanedEvents.deliver();
        reclaim.ask();
        scheduler.after(TICK, this::tick);
    }

    /** Nobody has claimed to have this call: if it stands at its server, it stands for nobody. */
    private void endOrphan(CallRecord record) {
        loose.remove(record.call());
        over(record.call());
        boolean elsewhere = replicaStore.ownerOf(record.call()).filter(registrar.seen()::isLive).isPresent();
        if (!elsewhere) {
            LOG.log(Level.INFO, "call {0} was left open by its controller; it is ended", record.call());
            controller.owedToServer(record.call(), record.server(), record.ending());
            controller.owedToCaller(record.call(), new AdoptedCaller(record.caller()), Ending.RESET);
        }
    }

    /** Goes on with a call that stands, if the list names its server. */
    private void place(CallRecord record, Instant until) {
        String call = record.call();
        replicationLog.put(record);
        if (controller.adopt(call, record.server(), new AdoptedCaller(record.caller()), record.ending())) {
            unplaced.remove(call);
            replicaStore.take(call).forEach(controller::happened);
        } else if (controller.hasGone(record.server()) || !scheduler.now().isBefore(until)) {
            unplaced.remove(call);
            over(call);
            controller.owedToCaller(call, new AdoptedCaller(record.caller()), Ending.RESET);
        } else {
            unplaced.put(call, until);
        }
    }

    private final class SuccessionWork implements Succession.Work {

        @Override
        public void goOn(CallRecord record, long from, int slot) {
            Place place = new Place(from, slot);
            unsettled.put(record.call(), place);
            wentOn.computeIfAbsent(place, any -> new ArrayList<>()).add(record.call());
            switch (record.kind()) {
                case STANDS -> place(record, scheduler.now().plus(NAMED_BY));
                case SENT, WAITS -> {
                    loose.put(record.call(), new Loose(record, scheduler.now().plus(record.lasts()).plus(terms.orphans())));
                    replicationLog.put(record);
                    replicaStore.take(record.call()).forEach(event -> {
                        if (!seesTo(event)) {
                            controller.unowned(event);
                        }
                    });
                }
                case OWES_CALLER -> {
                    over(record.call());
                    controller.owedToCaller(record.call(), new AdoptedCaller(record.caller()), record.how());
                }
                case OWES_SERVER -> {
                    over(record.call());
                    controller.owedToServer(record.call(), record.server(), record.ending());
                }
                case OVER -> { }
            }
            wentOnAt.put(place, replicationLog.changes());
        }

        @Override
        public void isOver(String call, long from, int slot) {
            if (unsettled.get(call) != null && unsettled.get(call).equals(new Place(from, slot))) {
                loose.remove(call);
                unplaced.remove(call);
                controller.disown(call);
                over(call);
                wentOnAt.put(new Place(from, slot), replicationLog.changes());
            }
        }

        @Override
        public boolean isKept(long from, int slot) {
            return replicationLog.areKept(wentOnAt.getOrDefault(new Place(from, slot), 0L), slot);
        }

        @Override
        public void settled(long from, int slot) {
            Place place = new Place(from, slot);
            wentOnAt.remove(place);
            List<String> calls = wentOn.remove(place);
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
    }

    private final class LogTransport implements ReplicationLog.Transport {

        @Override
        public boolean isUp(long keeper) {
            return links.isUp(keeper);
        }

        @Override
        public void send(long keeper, PeerMessage message) {
            links.send(keeper, message);
        }

        @Override
        public void wanted(Set<Long> keepers) {
            links.wanted(keepers);
        }
    }

    /** A call of a lease that ended is this member's own after all. */
    private void own(CallRecord record) {
        if (record.kind() == CallRecord.Kind.OWES_CALLER) {
            controller.owedToCaller(record.call(), new AdoptedCaller(record.caller()), record.how());
        } else if (record.kind() == CallRecord.Kind.OWES_SERVER) {
            controller.owedToServer(record.call(), record.server(), record.ending());
        } else if (controller.stands(record.call())) {
            replicationLog.put(record);
            List<CallEvent> happened = parked.remove(record.call());
            if (happened != null) {
                happened.forEach(controller::happened);
            }
        }
    }

    /** Somebody else acts on it. */
    private void others(String call) {
        controller.disown(call);
        List<CallEvent> happened = parked.remove(call);
        if (happened != null) {
            happened.forEach(orphanedEvents::tell);
        }
    }

    private final class ReclaimListener implements Reclaim.Listener {

        @Override
        public long validToken() {
            return leaseHolder.isValid() ? leaseHolder.token() : 0;
        }

        @Override
        public void own(CallRecord record) {
            Handover.this.own(record);
        }

        @Override
        public void others(String call) {
            Handover.this.others(call);
        }
    }

    private final class OrphanedEventPeers implements OrphanedEvents.Peers {

        @Override
        public long self() {
            return leaseHolder.token();
        }

        @Override
        public void send(long member, PeerMessage message) {
            links.send(member, message);
        }

        @Override
        public void nobody(CallEvent event) {
            controller.unowned(event);
        }
    }

    private final class Incoming implements Links.Handler {

        @Override
        public void up(long member) {
            replicationLog.linkUp(member);
        }

        @Override
        public void received(long from, long stream, PeerMessage message, Consumer<PeerMessage> answer) {
            if (message instanceof PeerMessage.Slot slot) {
                if (mayStillSend(slot.owner())) {
                    replicaStore.slot(slot, stream);
                }
            } else if (message instanceof PeerMessage.Changes changes) {
                if (mayStillSend(changes.owner())) {
                    replicaStore.changes(changes, stream);
                }
                if (changes.upTo() >= 0) {
                    answer.accept(replicaStore.upTo(changes.owner()));
                }
            } else if (message instanceof PeerMessage.Placed placed) {
                answer.accept(replicaStore.placed(placed, stream));
            } else if (message instanceof PeerMessage.Kept kept) {
                replicationLog.kept(from, kept);
            } else if (message instanceof PeerMessage.Pull pull && registrar.seen().isLive(pull.owner())) {
                return;   // more may come from its owner as long as its end is not known here; it is asked again
            } else if (message instanceof PeerMessage.Pull pull) {
                answer.accept(replicaStore.copy(pull.owner(), pull.slot())
                        .map(copy -> new PeerMessage.Pulled(pull.owner(), pull.slot(), copy.upTo(), copy.records()))
                        .orElse(new PeerMessage.Pulled(pull.owner(), pull.slot(), -1, List.of())));
            } else if (message instanceof PeerMessage.Pulled pulled) {
                succession.pulled(from, pulled);
            } else if (message instanceof PeerMessage.Told told) {
                answer.accept(new PeerMessage.Known(told.ask(), told(told.event())));
            } else if (message instanceof PeerMessage.Known known) {
                orphanedEvents.known(known);
            } else if (message instanceof PeerMessage.Free free) {
                boolean may = !succession.hasClaimed(free.owner());
                List<CallEvent> happened = may ? replicaStore.free(free.owner()) : List.of();
                happened.forEach(event -> orphanedEvents.tellOwner(event, free.owner()));
                answer.accept(new PeerMessage.Freed(free.owner(), may));
            } else if (message instanceof PeerMessage.Freed freed) {
                freed(from, freed);
            }
        }

        /** Guards what was said of a lease that has ended: what its owner sent then and comes now was never kept. */
        private boolean mayStillSend(long owner) {
            Register register = registrar.seen();
            return owner > register.lastToken() || register.isLive(owner);
        }

        /** Another member heard of something: whether it is seen to. */
        private boolean told(CallEvent event) {
            if (controller.stands(event.call())) {
                boolean may = mayAct(event.call());
                if (may) {
                    controller.happened(event);
                } else {
                    park(event);   // and it stays with whoever told it too
                }
                return may;
            }
            Loose attempt = loose.get(event.call());
            if (attempt != null) {
                if (!seesTo(event)) {
                    controller.unowned(event);
                }
                return true;
            }
            if (unplaced.containsKey(event.call())) {
                replicaStore.happened(event);
                return true;
            }
            return orphanedEvents.keep(event);
        }
    }

    /** The slot of a call, for pages and tests. */
    public static int slotOf(String call) {
        return Placement.slot(call);
    }
}
