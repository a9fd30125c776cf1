package pathlane.group;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.msgpack.core.MessageUnpacker;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.transport.Protocol;
import pathlane.wire.ProtocolException;

/**
 * The member-facing side of a voter: it holds the registry as built from the replicated log and, while it leads, submits the
 * commands of members, streams changes to them, batches their renewals, and expires leases that were not renewed. Confined
 * to the event loop's thread.
 */
public final class Voter {

    private static final Logger LOG = System.getLogger("register");
    private static final Duration RENEWAL_BATCH_INTERVAL = Duration.ofMillis(20);
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
    private static final Duration STALL_THRESHOLD = Duration.ofMillis(500);
    private static final int TICKS_PER_HEARTBEAT = 4;
    /** Bounds the memory that a member which does not read its replies can take. */
    private static final int MAX_PENDING_REQUESTS = 10_000;

    private final AuthenticatedLink.Context context;
    private final Scheduler scheduler;
    private final LongSupplier nanoClock;
    private final LeaseExpiryTracker expiryTracker;
    private final Set<Session> sessions = new LinkedHashSet<>();
    private final Map<Long, List<Consumer<Optional<Reply>>>> renewalCallbacks = new LinkedHashMap<>();
    private final Map<Long, Long> pendingRenewals = new LinkedHashMap<>();
    private final Set<Long> pendingExpiries = new LinkedHashSet<>();
    private LeaseRegistry registry = new LeaseRegistry();
    private long appliedIndex;
    private CommandLog log;
    private boolean wasLeader;
    private int tickCount;
    private long lastTickNanos;
    private boolean isStopped;

    /** {@code nanoClock} is the monotonic clock. */
    public Voter(LeaseTerms terms, AuthenticatedLink.Context context, LongSupplier nanoClock) {
        this.context = context;
        this.scheduler = context.scheduler();
        this.nanoClock = nanoClock;
        this.expiryTracker = new LeaseExpiryTracker(terms);
    }

    /** Starts to serve members, on this log. */
    public void start(CommandLog commandLog) {
        log = commandLog;
        lastTickNanos = nanoClock.getAsLong();
        tick();
    }

    /** Closes all connections and stops serving. */
    public void stop() {
        isStopped = true;
        List.copyOf(sessions).forEach(session -> session.link.close(CloseReason.DISCONNECTED));
    }

    /** Creates the state machine for a connection that a member has opened. */
    public Protocol accept() {
        return new Session().link;
    }

    /** The registry after the commands applied so far. */
    public LeaseRegistry registry() {
        return registry;
    }

    // ---- log

    /** Applies the next command of the log and sends it to the members that follow. */
    public Reply apply(long index, Command command) {
        appliedIndex = index;
        boolean wasLive = command instanceof Command.Expire expire && registry.isLive(expire.token());
        Reply reply = registry.apply(command);
        announcement(command, wasLive).ifPresent(announcement -> {
            byte[] bytes = RegistryCodec.encode(announcement);
            byte[] message = RegistryCodec.pack(packer -> {
                packer.packInt(RegistryClient.APPLIED).packLong(index);
                RegistryClient.binary(packer, bytes);
            });
            sessions.stream().filter(session -> session.isFollowing).forEach(session -> session.link.send(message));
        });
        return reply;
    }

    /**
     * The command to send to members. They don't follow renewals, so they can't decide whether an expiry took effect: one
     * that did is sent as an unconditional end of the lease.
     */
    private Optional<Command> announcement(Command command, boolean wasLive) {
        if (command instanceof Command.Expire expire) {
            return wasLive && !registry.isLive(expire.token()) ? Optional.of(new Command.Leave(expire.token()))
                    : Optional.empty();
        }
        return command instanceof Command.Renew ? Optional.empty() : Optional.of(command);
    }

    /** Replaces the registry with a snapshot; members reconnect to load it. */
    public void restore(long index, byte[] snapshot) {
        appliedIndex = index;
        registry = RegistryCodec.decodeRegistry(snapshot);
        expiryTracker.reset();
        sessions.forEach(session -> session.isFollowing = false);
        List.copyOf(sessions).forEach(session -> session.link.close(CloseReason.OVERTAKEN));
    }

    /** A snapshot of the registry, from which the log can restart. */
    public byte[] snapshot() {
        return RegistryCodec.encode(registry);
    }

    // ---- clock

    private void tick() {
        if (isStopped) {
            return;
        }
        boolean isLeader = log.isLeader();
        long nowNanos = nanoClock.getAsLong();
        if (nowNanos - lastTickNanos > STALL_THRESHOLD.toNanos()) {
            expiryTracker.reset();   // after a stall of this process: renewals that arrived meanwhile are still unread
        }
        lastTickNanos = nowNanos;
        if (isLeader != wasLeader) {
            LOG.log(Level.INFO, isLeader ? "{0} leads the registry" : "{0} no longer leads the registry", context.name());
            wasLeader = isLeader;
            // Nobody could renew in the time without a leader: leases count from now.
            expiryTracker.reset();
            if (!isLeader) {
                byte[] notLeader = RegistryCodec.pack(packer -> packer.packInt(RegistryClient.NOT_LEADER));
                sessions.forEach(session -> session.link.send(notLeader));
            }
        }
        // Followers track expiry too, each from its own applied renewals, so that a new leader has its own times.
        List<Command.Expire> due = expiryTracker.dueLeases(registry, nowNanos);
        if (isLeader) {
            for (Command.Expire expire : due) {
                if (pendingExpiries.add(expire.token())) {
                    log.append(expire, reply -> onExpireReply(expire, reply));
                }
            }
            if (++tickCount % TICKS_PER_HEARTBEAT == 0) {
                byte[] heartbeat =
                        RegistryCodec.pack(packer -> packer.packInt(RegistryClient.HEARTBEAT).packLong(appliedIndex));
                sessions.stream().filter(session -> session.isFollowing).forEach(session -> session.link.send(heartbeat));
            }
        }
        scheduler.after(TICK_INTERVAL, this::tick);
    }

    private void onExpireReply(Command.Expire expire, Optional<Reply> reply) {
        pendingExpiries.remove(expire.token());
        if (reply.isPresent() && !registry.isLive(expire.token())) {
            LOG.log(Level.WARNING, "lease {0} has expired: it was not renewed in time", Long.toString(expire.token()));
        }
    }

    // ---- members

    private void submit(Command command, Consumer<Optional<Reply>> onReply) {
        if (!(command instanceof Command.Renew renew)) {
            log.append(command, onReply);
            return;
        }
        for (Command.Renewal renewal : renew.renewals()) {
            pendingRenewals.merge(renewal.token(), renewal.renewalNumber(), Math::max);
            renewalCallbacks.computeIfAbsent(renewal.token(), token -> new ArrayList<>()).add(onReply);
        }
        if (pendingRenewals.size() == renew.renewals().size()) {
            scheduler.after(RENEWAL_BATCH_INTERVAL, this::submitRenewals);
        }
    }

    private void submitRenewals() {
        List<Command.Renewal> batch = new ArrayList<>();
        pendingRenewals.forEach((token, number) -> batch.add(new Command.Renewal(token, number)));
        List<Consumer<Optional<Reply>>> callbacks = new ArrayList<>();
        renewalCallbacks.values().forEach(callbacks::addAll);
        pendingRenewals.clear();
        renewalCallbacks.clear();
        if (!batch.isEmpty()) {
            log.append(new Command.Renew(batch), reply -> callbacks.forEach(callback -> callback.accept(reply)));
        }
    }

    private final class Session implements AuthenticatedLink.Listener {

        private final AuthenticatedLink link = new AuthenticatedLink(context, false, this);
        private boolean isFollowing;
        private int pendingRequests;

        @Override
        public void authenticated(AuthenticatedLink authenticatedLink, String name) {
            if (!log.isLeader()) {
                link.send(RegistryCodec.pack(packer -> packer.packInt(RegistryClient.NOT_LEADER)));
                return;
            }
            sessions.add(this);
            isFollowing = true;
            byte[] bytes = snapshot();
            link.send(RegistryCodec.pack(packer -> {
                packer.packInt(RegistryClient.SNAPSHOT).packLong(appliedIndex);
                RegistryClient.binary(packer, bytes);
            }));
        }

        @Override
        public void received(byte[] payload) {
            RegistryCodec.decode(payload, unpacker -> {
                received(unpacker);
                return null;
            });
        }

        private void received(MessageUnpacker unpacker) throws IOException {
            int kind = unpacker.unpackInt();
            if (kind != RegistryClient.REQUEST) {
                throw new ProtocolException("unknown message kind " + kind + " from a member");
            }
            long id = unpacker.unpackLong();
            Command command = RegistryCodec.decodeCommand(RegistryClient.binary(unpacker));
            if (command instanceof Command.Expire) {
                throw new ProtocolException("members may not expire leases");
            }
            if (++pendingRequests > MAX_PENDING_REQUESTS) {
                throw new ProtocolException("more than 10000 pending requests of one member");
            }
            submit(command, result -> {
                pendingRequests--;
                result.ifPresent(reply -> {
                    byte[] bytes = RegistryCodec.encode(reply);
                    link.send(RegistryCodec.pack(packer -> {
                        packer.packInt(RegistryClient.REPLY).packLong(id);
                        RegistryClient.binary(packer, bytes);
                    }));
                });
            });
        }

        @Override
        public void closed(CloseReason reason) {
            sessions.remove(this);
        }
    }
}
