package pathlane.handover;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import pathlane.core.CallController;
import pathlane.core.CallEvent;
import pathlane.core.CallReplication;
import pathlane.core.ClientPort;
import pathlane.core.Scheduler;
import pathlane.decision.Outcome;
import pathlane.group.LeaseHolder;
import pathlane.group.Placement;
import pathlane.group.Register;
import pathlane.group.RegisterClient;
import pathlane.group.SealedLink;
import pathlane.transport.Connector;
import pathlane.transport.Protocol;
import pathlane.transport.RateLimiter;

/**
 * One controller's part in a group whose members go on with each other's calls: its lease, its records at others, what it
 * keeps for others, and what it takes over. On the loop's thread.
 *
 * <p>Rule: it writes something that concerns a call others may act on only while its lease is valid ({@link #mayAct}).
 */
public final class Handover implements CallReplication, LeaseHolder.Listener {

    private static final Logger LOG = System.getLogger("group");
    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration REGISTER_SETTLES = Duration.ofMillis(50);
    /** Events of calls that are not known here: so many at once, and one more each so often. */
    private static final int ORPHANED_EVENTS_AT_ONCE = 1_000;
    private static final Duration ORPHANED_EVENT_EVERY = Duration.ofMillis(2);

    private final Terms terms;
    private final Scheduler scheduler;
    private final RegisterClient client;
    private final LeaseHolder leaseHolder;
    private final Links links;
    private final ReplicationLog replicationLog;
    private final ReplicaStore replicaStore;
    private final Succession succession;
    private final OrphanedEvents orphanedEvents;
    private final Reclaim reclaim;
    private final RateLimiter orphanedEventLimit;
    private final ParkedEvents parkedEvents = new ParkedEvents();
    private final AdoptedCalls adoptedCalls;
    private final ReplicaRelease replicaRelease;
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
    public Handover(Terms terms, long incarnation, List<InetSocketAddress> voters, Connector dialer,
            SealedLink.Common common, LongSupplier nanos) {
        this.terms = terms;
        this.scheduler = common.scheduler();
        this.client = new RegisterClient(voters, dialer, common, this::registerChanged);
        this.leaseHolder = new LeaseHolder(terms.name(), incarnation, terms.address(), terms.copies(), terms.lease(),
                client, scheduler, nanos, this);
        this.replicaStore = new ReplicaStore(scheduler, terms.clearWait());
        this.links = new Links(dialer, common, client, leaseHolder::token);
        this.replicationLog = new ReplicationLog(client, scheduler, terms.window(), links);
        this.adoptedCalls = new AdoptedCalls(terms, scheduler, client, links, replicationLog, replicaStore, this::handle);
        this.succession = new Succession(client, leaseHolder, scheduler, replicaStore, terms.pace(), adoptedCalls);
        this.orphanedEvents = new OrphanedEvents(client, scheduler, replicaStore, links, leaseHolder::token,
                event -> controller.handleUnowned(event));
        this.reclaim = new Reclaim(client, new ReclaimListener());
        this.replicaRelease = new ReplicaRelease(scheduler, leaseHolder, replicationLog, links, this::released);
        links.deliverTo(new IncomingMessages(client, replicaStore, replicationLog, succession, orphanedEvents,
                replicaRelease, this::reported));
        this.orphanedEventLimit = new RateLimiter(ORPHANED_EVENTS_AT_ONCE, ORPHANED_EVENT_EVERY, scheduler);
    }

    /** Begins; the controller is the one that replicates its calls by this. */
    public void start(CallController of) {
        controller = of;
        adoptedCalls.start(of);
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
        GracefulLeave leave = new GracefulLeave(scheduler, client, leaseHolder, replicationLog, terms.window());
        leave.begin(this::passOnParked, () -> {
            stop();
            done.run();
        });
    }

    /** Ends without a word. */
    public void stop() {
        stopped = true;
        replicaRelease.stop();
        client.stop();
        links.stop();
    }

    /** What there is to see, as a line for the log. */
    public String line() {
        return "lease=" + leaseHolder.token() + " sure=" + leaseHolder.isValid() + " covered=" + isReplicated()
                + " members=" + client.seen().members().size() + " records=" + replicationLog.size()
                + " keeps=" + replicaStore.size() + " taken_over=" + adopted() + " parked=" + parkedEvents.size();
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
        Register register = client.seen();
        return leaseHolder.isValid() && register.replicatedView(leaseHolder.token()) == register.view()
                && replicationLog.isKept();
    }

    /** The register as it was last seen. */
    public Register register() {
        return client.seen();
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
    public void attemptStarted(String call, long server, Duration patience, ClientPort caller, Supplier<byte[]> ending) {
        replicationLog.put(CallRecord.sent(call, server, caller.clientKey(), patience, ending.get()));
    }

    @Override
    public void attemptEnded(String call, long server, Duration wait, ClientPort caller) {
        replicationLog.put(CallRecord.waits(call, server, caller.clientKey(), wait, ending(call)));
    }

    @Override
    public void callEstablished(String call, long server, ClientPort caller) {
        adoptedCalls.stands(call);
        replicationLog.put(CallRecord.stands(call, server, caller.clientKey(), ending(call)));
    }

    private byte[] ending(String call) {
        return replicationLog.record(call).map(CallRecord::ending).orElseGet(() -> new byte[0]);
    }

    @Override
    public void deliverAnswer(String call, int callClass, Runnable write) {
        if (terms.waiting().contains(callClass) && leaseHolder.isValid()) {
            replicationLog.whenKept(call, terms.waitMost(), write);
        } else {
            write.run();
        }
    }

    @Override
    public void clientReleasePending(String call, ClientPort caller, Outcome how) {
        replicationLog.put(CallRecord.owesCaller(call, caller == null ? "" : caller.clientKey(), how));
    }

    @Override
    public void serverReleasePending(String call, long server, byte[] ending) {
        replicationLog.put(CallRecord.owesServer(call, server, ending));
    }

    @Override
    public void callCompleted(String call) {
        adoptedCalls.over(call);
    }

    @Override
    public boolean mayAct(String call) {
        return !reclaim.contains(call)   // else it is not known yet whether the lease that ended left this member the call
                && (leaseHolder.isValid() || !replicationLog.isShared(call) && !adoptedCalls.isUnsettled(call));
    }

    @Override
    public void defer(CallEvent event) {
        parkedEvents.park(event);
    }

    @Override
    public boolean delegate(CallEvent event) {
        if (adoptedCalls.hasOpenAttempt(event.callId())) {
            return adoptedCalls.resolveAttempt(event);
        }
        if (client.seen().members().size() < 2 || !orphanedEventLimit.tryAcquire()) {
            return false;
        }
        orphanedEvents.tell(event);
        return true;
    }

    @Override
    public Duration delayBeforeFirstAttempt(String call) {
        return replicaStore.heldBack(call);
    }

    /** Handles an event of a call that does not stand here. */
    private void handle(CallEvent event) {
        if (!delegate(event)) {
            controller.handleUnowned(event);
        }
    }

    /** Another member has reported an event: whether it is handled here, or stored until it is. */
    private boolean reported(CallEvent event) {
        String call = event.callId();
        if (controller.isEstablished(call)) {
            boolean may = mayAct(call);
            if (may) {
                controller.handleOwned(event);
            } else {
                defer(event);   // and the other member keeps it too
            }
            return may;
        }
        if (adoptedCalls.hasOpenAttempt(call)) {
            handle(event);
            return true;
        }
        if (adoptedCalls.isUnplaced(call)) {
            replicaStore.happened(event);
            return true;
        }
        return orphanedEvents.keep(event);
    }

    // ---- from the lease

    @Override
    public void granted(long token) {
        replicaRelease.clear();
        replicationLog.begin(token);
        succession.look();
        reclaim.ask();
        replayParked();
    }

    @Override
    public void lapsed() {
        replicationLog.pause();
        replicaRelease.begin();
    }

    /** All keepers have dropped their replicas. */
    private void released() {
        LOG.log(Level.INFO, "no agreement can be reached; all keepers have dropped their records, and calls are served "
                + "uncovered");
        leaseHolder.emptied();
        replicationLog.freed();
        replayParked();
    }

    @Override
    public void validAgain() {
        replicationLog.resume();
        replayParked();
    }

    @Override
    public void lost(long token) {
        List<CallRecord> others = replicationLog.shared();
        Set<String> gone = adoptedCalls.calls();
        Set<Integer> unsettledSlots = adoptedCalls.unsettledSlots();
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
        LOG.log(Level.WARNING, "others act on {0} calls from now on; {1} are taken back if nobody has claimed them",
                Integer.toString(gone.size()), Integer.toString(open));
        gone.forEach(call -> {
            controller.disown(call);
            replicationLog.forget(call);
        });
        replicationLog.end();
        succession.stop();
        adoptedCalls.clear();
        passOnParked();
    }

    /** Events that arrived while this controller could not act go to whoever can. */
    private void passOnParked() {
        parkedEvents.handOver(call -> reclaim.contains(call) && !leaving, orphanedEvents::tell);
    }

    private void replayParked() {
        parkedEvents.handOver(call -> false, controller::handleOwned);
    }

    // ---- from the register and the clock

    private void registerChanged() {
        if (!registerChanged) {
            registerChanged = true;
            // Many may come at once; what is in between concerns nobody.
            scheduler.after(REGISTER_SETTLES, this::lookAtRegister);
        }
        Register register = client.seen();
        if (leaseHolder.token() != 0 && !register.isLive(leaseHolder.token())
                && register.lastToken() >= leaseHolder.token()) {
            leaseHolder.seenEnded(leaseHolder.token());
        }
    }

    private void lookAtRegister() {
        registerChanged = false;
        // What was kept for whoever would act goes the round again: who acts now is not told by records kept here.
        List<CallEvent> left = replicaStore.prune(client.seen(), leaseHolder.token());
        replicationLog.registerChanged();
        succession.look();
        orphanedEvents.deliver();
        left.forEach(orphanedEvents::tell);
    }

    private void tick() {
        if (stopped) {
            return;
        }
        adoptedCalls.tick(leaseHolder.isValid());
        orphanedEvents.deliver();
        reclaim.ask();
        scheduler.after(TICK, this::tick);
    }

    /** Acts on the outcome for calls of a lease that ended. */
    private final class ReclaimListener implements Reclaim.Listener {

        @Override
        public long validToken() {
            return leaseHolder.isValid() ? leaseHolder.token() : 0;
        }

        @Override
        public void own(CallRecord record) {
            if (record.kind() == CallRecord.Kind.OWES_CALLER) {
                controller.deliverRelease(record.call(), new AdoptedCaller(record.caller()), record.how());
            } else if (record.kind() == CallRecord.Kind.OWES_SERVER) {
                controller.deliverServerRelease(record.call(), record.server(), record.ending());
            } else if (controller.isEstablished(record.call())) {
                replicationLog.put(record);
                parkedEvents.take(record.call()).forEach(controller::handleOwned);
            }
        }

        @Override
        public void others(String call) {
            controller.disown(call);
            parkedEvents.take(call).forEach(orphanedEvents::tell);
        }
    }
}
