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
 * A controller's membership in a group whose members adopt each other's calls: its lease, the replication of its call
 * records, the replicas that it holds for others, and the calls that it adopts. Confined to the event loop thread.
 *
 * <p>Invariant: as long as other members may act on a call, this controller writes anything that concerns the call only
 * while its lease is valid ({@link #mayAct}).
 */
public final class Handover implements CallReplication, LeaseHolder.Listener {

    private static final Logger LOG = System.getLogger("group");
    private static final Duration TICK_INTERVAL = Duration.ofMillis(250);
    private static final Duration REGISTRY_CHANGE_DELAY = Duration.ofMillis(50);
    /**
     * Rate limit for reports of events of calls that are not known here: the burst size, and the interval per further event.
     */
    private static final int ORPHANED_EVENT_BURST = 1_000;
    private static final Duration ORPHANED_EVENT_INTERVAL = Duration.ofMillis(2);

    private final HandoverSettings settings;
    private final Scheduler scheduler;
    private final RegistryClient registryClient;
    private final LeaseHolder leaseHolder;
    private final PeerConnections connections;
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
    private boolean isRegistryChangePending;
    private boolean isLeaving;
    private boolean isStopped;

    /**
     * Does not start anything yet.
     *
     * @param incarnation drawn anew at each start of the process
     * @param voters the addresses of the registry's voters
     * @param nanoClock the monotonic clock
     */
    public Handover(HandoverSettings settings, long incarnation, List<InetSocketAddress> voters, Connector connector,
            AuthenticatedLink.Context linkContext, LongSupplier nanoClock) {
        this.settings = settings;
        this.scheduler = linkContext.scheduler();
        this.registryClient = new RegistryClient(voters, connector, linkContext, this::registryChanged);
        this.leaseHolder = new LeaseHolder(settings.name(), incarnation, settings.address(), settings.replicaCount(),
                settings.lease(), registryClient, scheduler, nanoClock, this);
        this.replicaStore = new ReplicaStore(scheduler, settings.retryDelay());
        this.connections = new PeerConnections(connector, linkContext, registryClient, leaseHolder::token);
        this.replicationLog = new ReplicationLog(registryClient, scheduler, settings.batchWindow(), connections);
        this.adoptedCalls =
                new AdoptedCalls(settings, scheduler, registryClient, connections, replicationLog, replicaStore,
                        this::handleLocally);
        this.shardAdoption =
                new ShardAdoption(registryClient, leaseHolder, scheduler, replicaStore, settings.adoptionsPerSecond(),
                        adoptedCalls);
        this.orphanedEvents = new OrphanedEvents(registryClient, scheduler, replicaStore, connections, leaseHolder::token,
                event -> controller.handleUnowned(event));
        this.reclaim = new Reclaim(registryClient,
                new ReclaimedCalls(leaseHolder, replicationLog, deferredEvents, orphanedEvents, () -> controller));
        this.replicaRelease =
                new ReplicaRelease(scheduler, leaseHolder, replicationLog, connections, this::replicasReleased);
        connections.setHandler(new IncomingMessages(registryClient, replicaStore, replicationLog, shardAdoption,
                orphanedEvents, replicaRelease, this::handleReport));
        this.orphanedEventLimit = new RateLimiter(ORPHANED_EVENT_BURST, ORPHANED_EVENT_INTERVAL, scheduler);
    }

    /** Starts; {@code callController} is the one that replicates its calls through this object. */
    public void start(CallController callController) {
        controller = callController;
        adoptedCalls.start(callController);
        registryClient.start();
        leaseHolder.start();
        tick();
    }

    /** Returns the protocol state machine for a connection that another member has opened. */
    public Protocol accept() {
        return connections.accept();
    }

    /**
     * Leaves the group gracefully: pending work is handed over at once. {@code done} runs once the handover was sent or has
     * timed out.
     */
    public void leave(Runnable done) {
        if (isLeaving) {
            return;
        }
        isLeaving = true;
        GracefulLeave leave =
                new GracefulLeave(scheduler, registryClient, leaseHolder, replicationLog, settings.batchWindow());
        leave.begin(this::forwardDeferredEvents, () -> {
            stop();
            done.run();
        });
    }

    /** Stops at once, without notifying the group. */
    public void stop() {
        isStopped = true;
        replicaRelease.stop();
        registryClient.stop();
        connections.stop();
    }

    /** Returns the current state as one log line. */
    public String summary() {
        return "lease=" + leaseHolder.token() + " lease_valid=" + leaseHolder.isValid() + " replicated=" + isReplicated()
                + " members=" + registryClient.registry().members().size() + " records=" + replicationLog.size()
                + " replicas=" + replicaStore.size() + " adopted=" + adoptedCount() + " deferred=" + deferredEvents.size();
    }

    /** The lease's token; 0 while there is none. */
    public long token() {
        return leaseHolder.token();
    }

    /** Whether the lease is valid. */
    public boolean isLeaseValid() {
        return leaseHolder.isValid();
    }

    /** Whether all records of this controller are at the replica holders that the registry's newest view gives. */
    public boolean isReplicated() {
        LeaseRegistry registry = registryClient.registry();
        return leaseHolder.isValid() && registry.replicatedView(leaseHolder.token()) == registry.view()
                && replicationLog.isReplicated();
    }

    /** The last known state of the registry. */
    public LeaseRegistry registry() {
        return registryClient.registry();
    }

    /** What is left to do for a call, by this controller's own record or a replica held here; empty if there is neither. */
    public Optional<CallRecord.Kind> pendingWork(String callId) {
        return replicationLog.record(callId).map(CallRecord::kind).or(() -> replicaStore.kindOf(callId));
    }

    /** The number of other members' calls that this controller has adopted. */
    public long adoptedCount() {
        return shardAdoption.adoptedCount();
    }

    // ---- call replication

    @Override
    public void attemptStarted(String callId, long serverId, Duration giveUpAfter, ClientPort client,
            Supplier<byte[]> releaseToken) {
        replicationLog.put(CallRecord.inFlight(callId, serverId, client.clientKey(), giveUpAfter, releaseToken.get()));
    }

    @Override
    public void attemptEnded(String callId, long serverId, Duration wait, ClientPort client) {
        replicationLog.put(CallRecord.retryDelayed(callId, serverId, client.clientKey(), wait, releaseTokenOf(callId)));
    }

    @Override
    public void callEstablished(String callId, long serverId, ClientPort client) {
        adoptedCalls.established(callId);
        replicationLog.put(CallRecord.established(callId, serverId, client.clientKey(), releaseTokenOf(callId)));
    }

    private byte[] releaseTokenOf(String callId) {
        return replicationLog.record(callId).map(CallRecord::releaseToken).orElseGet(() -> new byte[0]);
    }

    @Override
    public void deliverAnswer(String callId, int callClass, Runnable write) {
        if (settings.synchronousClasses().contains(callClass) && leaseHolder.isValid()) {
            replicationLog.whenReplicated(callId, settings.maxAnswerDelay(), write);
        } else {
            write.run();
        }
    }

    @Override
    public void clientReleasePending(String callId, ClientPort client, Outcome outcome) {
        replicationLog.put(CallRecord.clientReleasePending(callId, client == null ? "" : client.clientKey(), outcome));
    }

    @Override
    public void serverReleasePending(String callId, long serverId, byte[] releaseToken) {
        replicationLog.put(CallRecord.serverReleasePending(callId, serverId, releaseToken));
    }

    @Override
    public void callCompleted(String callId) {
        adoptedCalls.completed(callId);
    }

    @Override
    public boolean mayAct(String callId) {
        return !reclaim.contains(callId)   // otherwise the registry has yet to confirm that the call is still this member's
                && (leaseHolder.isValid() || !replicationLog.isShared(callId) && !adoptedCalls.isIncomplete(callId));
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
        if (registryClient.registry().members().size() < 2 || !orphanedEventLimit.tryAcquire()) {
            return false;
        }
        orphanedEvents.report(event);
        return true;
    }

    @Override
    public Duration delayBeforeFirstAttempt(String callId) {
        return replicaStore.retryDelay(callId);
    }

    /** Handles an event of a call that is not established here. */
    private void handleLocally(CallEvent event) {
        if (!delegate(event)) {
            controller.handleUnowned(event);
        }
    }

    /** Handles an event that another member has reported; returns whether it is handled here, or stored until it is. */
    private boolean handleReport(CallEvent event) {
        String callId = event.callId();
        if (controller.isEstablished(callId)) {
            boolean isAllowed = mayAct(callId);
            if (isAllowed) {
                controller.handleOwned(event);
            } else {
                defer(event);   // the other member keeps the event as well
            }
            return isAllowed;
        }
        if (adoptedCalls.hasOpenAttempt(callId)) {
            handleLocally(event);
            return true;
        }
        if (adoptedCalls.awaitsServer(callId)) {
            replicaStore.storeEvent(event);
            return true;
        }
        return orphanedEvents.store(event);
    }

    // ---- lease events

    @Override
    public void granted(long token) {
        replicaRelease.clear();
        replicationLog.begin(token);
        shardAdoption.reconcile();
        reclaim.requestShards();
        replayDeferredEvents();
    }

    @Override
    public void lapsed() {
        replicationLog.pause();
        replicaRelease.begin();
    }

    /** All replica holders have dropped their replicas. */
    private void replicasReleased() {
        LOG.log(Level.INFO, "no agreement can be reached; all replica holders have dropped their replicas, and calls are "
                + "served without replication");
        leaseHolder.replicasDropped();
        replicationLog.replicasDropped();
        replayDeferredEvents();
    }

    @Override
    public void validAgain() {
        replicationLog.resume();
        replayDeferredEvents();
    }

    @Override
    public void lost(long token) {
        List<CallRecord> sharedRecords = replicationLog.sharedRecords();
        Set<String> lostCalls = adoptedCalls.calls();
        Set<Integer> incompleteShards = adoptedCalls.incompleteShards();
        reclaim.begin(token, incompleteShards);
        int reclaimCount = 0;
        for (CallRecord record : sharedRecords) {
            if (incompleteShards.contains(ShardPlacement.shardOf(record.callId()))) {
                lostCalls.add(record.callId());
            } else {
                reclaim.add(token, record);
                replicationLog.removeLocally(record.callId());
                if (record.kind() != CallRecord.Kind.ESTABLISHED) {
                    controller.disown(record.callId());   // a release waits until the call's owner is known
                }
                reclaimCount++;
            }
        }
        LOG.log(Level.WARNING, "others act on {0} calls from now on; {1} are reclaimed if nobody has claimed them",
                Integer.toString(lostCalls.size()), Integer.toString(reclaimCount));
        lostCalls.forEach(callId -> {
            controller.disown(callId);
            replicationLog.removeLocally(callId);
        });
        replicationLog.end();
        shardAdoption.stop();
        adoptedCalls.clear();
        forwardDeferredEvents();
    }

    /** Forwards the events that arrived while this controller could not act to the members that can. */
    private void forwardDeferredEvents() {
        deferredEvents.drainExcept(callId -> reclaim.contains(callId) && !isLeaving, orphanedEvents::report);
    }

    private void replayDeferredEvents() {
        deferredEvents.drainExcept(callId -> false, controller::handleOwned);
    }

    // ---- registry changes and periodic work

    private void registryChanged() {
        if (!isRegistryChangePending) {
            isRegistryChangePending = true;
            // Many changes may come at once; only the state after the last one matters.
            scheduler.after(REGISTRY_CHANGE_DELAY, this::reconcileWithRegistry);
        }
        LeaseRegistry registry = registryClient.registry();
        if (leaseHolder.token() != 0 && !registry.isLive(leaseHolder.token())
                && registry.lastToken() >= leaseHolder.token()) {
            leaseHolder.observedEnd(leaseHolder.token());
        }
    }

    private void reconcileWithRegistry() {
        isRegistryChangePending = false;
        // Events that were stored for the acting member are reported anew: the records kept here no longer identify it.
        List<CallEvent> undelivered = replicaStore.prune(registryClient.registry(), leaseHolder.token());
        replicationLog.registryChanged();
        shardAdoption.reconcile();
        orphanedEvents.deliver();
        undelivered.forEach(orphanedEvents::report);
    }

    private void tick() {
        if (isStopped) {
            return;
        }
        adoptedCalls.tick(leaseHolder.isValid());
        orphanedEvents.deliver();
        reclaim.requestShards();
        scheduler.after(TICK_INTERVAL, this::tick);
    }
}
