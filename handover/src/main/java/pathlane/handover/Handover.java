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
import pathlane.group.AuthenticatedLink;
import pathlane.group.LeaseHolder;
import pathlane.group.LeaseRegistry;
import pathlane.group.RegistryClient;
import pathlane.group.ShardPlacement;
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

    private final HandoverSettings terms;
    private final Scheduler scheduler;
    private final RegistryClient client;
    private final LeaseHolder leaseHolder;
    private final PeerConnections links;
    private final ReplicationLog replicationLog;
    private final ReplicaStore replicaStore;
    private final ShardAdoption shardAdoption;
    private final OrphanedEvents orphanedEvents;
    private final Reclaim reclaim;
    private final RateLimiter orphanedEventLimit;
    private final DeferredEvents deferredEvents = new DeferredEvents();
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
    public Handover(HandoverSettings terms, long incarnation, List<InetSocketAddress> voters, Connector dialer,
            AuthenticatedLink.Context common, LongSupplier nanos) {
        this.terms = terms;
        this.scheduler = common.scheduler();
        this.client = new RegistryClient(voters, dialer, common, this::registerChanged);
        this.leaseHolder = new LeaseHolder(terms.name(), incarnation, terms.address(), terms.replicaCount(), terms.lease(),
                client, scheduler, nanos, this);
        this.replicaStore = new ReplicaStore(scheduler, terms.retryDelay());
        this.links = new PeerConnections(dialer, common, client, leaseHolder::token);
        this.replicationLog = new ReplicationLog(client, scheduler, terms.batchWindow(), links);
        this.adoptedCalls =
                new AdoptedCalls(terms, scheduler, client, links, replicationLog, replicaStore, this::handleLocally);
        this.shardAdoption =
                new ShardAdoption(client, leaseHolder, scheduler, replicaStore, terms.adoptionsPerSecond(), adoptedCalls);
        this.orphanedEvents = new OrphanedEvents(client, scheduler, replicaStore, links, leaseHolder::token,
                event -> controller.handleUnowned(event));
        this.reclaim = new Reclaim(client,
                new ReclaimedCalls(leaseHolder, replicationLog, deferredEvents, orphanedEvents, () -> controller));
        this.replicaRelease = new ReplicaRelease(scheduler, leaseHolder, replicationLog, links, this::replicasReleased);
        links.setHandler(new IncomingMessages(client, replicaStore, replicationLog, shardAdoption, orphanedEvents,
                replicaRelease, this::handleReport));
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
        GracefulLeave leave = new GracefulLeave(scheduler, client, leaseHolder, replicationLog, terms.batchWindow());
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
    public String summary() {
        return "lease=" + leaseHolder.token() + " lease_valid=" + leaseHolder.isValid() + " replicated=" + isReplicated()
                + " members=" + client.registry().members().size() + " records=" + replicationLog.size()
                + " replicas=" + replicaStore.size() + " adopted=" + adopted() + " deferred=" + deferredEvents.size();
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
        LeaseRegistry register = client.registry();
        return leaseHolder.isValid() && register.replicatedView(leaseHolder.token()) == register.view()
                && replicationLog.isReplicated();
    }

    /** The register as it was last seen. */
    public LeaseRegistry register() {
        return client.registry();
    }

    /** What is left to do for a call by what is known here, its own or another's; empty where nothing is. */
    public Optional<CallRecord.Kind> pendingWork(String call) {
        return replicationLog.record(call).map(CallRecord::kind).or(() -> replicaStore.kindOf(call));
    }

    /** Calls of others that this one went on with. */
    public long adopted() {
        return shardAdoption.adopted();
    }

    // ---- from the life of a call

    @Override
    public void attemptStarted(String call, long server, Duration patience, ClientPort caller, Supplier<byte[]> ending) {
        replicationLog.put(CallRecord.inFlight(call, server, caller.clientKey(), patience, ending.get()));
    }

    @Override
    public void attemptEnded(String call, long server, Duration wait, ClientPort caller) {
        replicationLog.put(CallRecord.retryDelayed(call, server, caller.clientKey(), wait, ending(call)));
    }

    @Override
    public void callEstablished(String call, long server, ClientPort caller) {
        adoptedCalls.established(call);
        replicationLog.put(CallRecord.established(call, server, caller.clientKey(), ending(call)));
    }

    private byte[] ending(String call) {
        return replicationLog.record(call).map(CallRecord::releaseToken).orElseGet(() -> new byte[0]);
    }

    @Override
    public void deliverAnswer(String call, int callClass, Runnable write) {
        if (terms.synchronousClasses().contains(callClass) && leaseHolder.isValid()) {
            replicationLog.whenReplicated(call, terms.maxAnswerDelay(), write);
        } else {
            write.run();
        }
    }

    @Override
    public void clientReleasePending(String call, ClientPort caller, Outcome how) {
        replicationLog.put(CallRecord.clientReleasePending(call, caller == null ? "" : caller.clientKey(), how));
    }

    @Override
    public void serverReleasePending(String call, long server, byte[] ending) {
        replicationLog.put(CallRecord.serverReleasePending(call, server, ending));
    }

    @Override
    public void callCompleted(String call) {
        adoptedCalls.completed(call);
    }

    @Override
    public boolean mayAct(String call) {
        return !reclaim.contains(call)   // else it is not known yet whether the lease that ended left this member the call
                && (leaseHolder.isValid() || !replicationLog.isShared(call) && !adoptedCalls.isIncomplete(call));
    }

    @Override
    public void defer(CallEvent event) {
        deferredEvents.defer(event);
    }

    @Override
    public boolean delegate(CallEvent event) {
        if (adoptedCalls.hasOpenAttempt(event.callId())) {
            return adoptedCalls.resolveAttempt(event);
        }
        if (client.registry().members().size() < 2 || !orphanedEventLimit.tryAcquire()) {
            return false;
        }
        orphanedEvents.report(event);
        return true;
    }

    @Override
    public Duration delayBeforeFirstAttempt(String call) {
        return replicaStore.retryDelay(call);
    }

    /** Handles an event of a call that does not stand here. */
    private void handleLocally(CallEvent event) {
        if (!delegate(event)) {
            controller.handleUnowned(event);
        }
    }

    /** Another member has reported an event: whether it is handled here, or stored until it is. */
    private boolean handleReport(CallEvent event) {
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
            handleLocally(event);
            return true;
        }
        if (adoptedCalls.awaitsServer(call)) {
            replicaStore.storeEvent(event);
            return true;
        }
        return orphanedEvents.store(event);
    }

    // ---- from the lease

    @Override
    public void granted(long token) {
        replicaRelease.clear();
        replicationLog.begin(token);
        shardAdoption.reconcile();
        reclaim.ask();
        replayParked();
    }

    @Override
    public void lapsed() {
        replicationLog.pause();
        replicaRelease.begin();
    }

    /** All holders have dropped their replicas. */
    private void replicasReleased() {
        LOG.log(Level.INFO, "no agreement can be reached; all replica holders have dropped their replicas, and calls are "
                + "served without replication");
        leaseHolder.replicasDropped();
        replicationLog.replicasDropped();
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
        Set<Integer> unsettledSlots = adoptedCalls.incompleteShards();
        reclaim.begin(token, unsettledSlots);
        int open = 0;
        for (CallRecord record : others) {
            if (unsettledSlots.contains(ShardPlacement.shardOf(record.callId()))) {
                gone.add(record.callId());
            } else {
                reclaim.add(token, record);
                replicationLog.forget(record.callId());
                if (record.kind() != CallRecord.Kind.ESTABLISHED) {
                    controller.disown(record.callId());   // what is owed is not told before it is known whose it is
                }
                open++;
            }
        }
        LOG.log(Level.WARNING, "others act on {0} calls from now on; {1} are reclaimed if nobody has claimed them",
                Integer.toString(gone.size()), Integer.toString(open));
        gone.forEach(call -> {
            controller.disown(call);
            replicationLog.forget(call);
        });
        replicationLog.end();
        shardAdoption.stop();
        adoptedCalls.clear();
        passOnParked();
    }

    /** Events that arrived while this controller could not act go to whoever can. */
    private void passOnParked() {
        deferredEvents.forEachExcept(call -> reclaim.contains(call) && !leaving, orphanedEvents::report);
    }

    private void replayParked() {
        deferredEvents.forEachExcept(call -> false, controller::handleOwned);
    }

    // ---- from the register and the clock

    private void registerChanged() {
        if (!registerChanged) {
            registerChanged = true;
            // Many may come at once; what is in between concerns nobody.
            scheduler.after(REGISTER_SETTLES, this::lookAtRegister);
        }
        LeaseRegistry register = client.registry();
        if (leaseHolder.token() != 0 && !register.isLive(leaseHolder.token())
                && register.lastToken() >= leaseHolder.token()) {
            leaseHolder.observedEnd(leaseHolder.token());
        }
    }

    private void lookAtRegister() {
        registerChanged = false;
        // What was kept for whoever would act goes the round again: who acts now is not told by records kept here.
        List<CallEvent> left = replicaStore.prune(client.registry(), leaseHolder.token());
        replicationLog.registryChanged();
        shardAdoption.reconcile();
        orphanedEvents.deliver();
        left.forEach(orphanedEvents::report);
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
}
