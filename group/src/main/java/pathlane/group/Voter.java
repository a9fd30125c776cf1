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
import pathlane.wire.BadInput;

/**
 * The member-facing side of a voter: it holds the registry as built from the replicated log and, while it leads, submits the
 * commands of members, streams changes to them, batches their renewals, and expires leases that were not renewed. Confined
 * to the event loop's thread.
 */
public final class Voter {

    private static final Logger LOG = System.getLogger("register");
    private static final Duration GATHER = Duration.ofMillis(20);
    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration OWN_STALL = Duration.ofMillis(500);
    private static final int ALIVE_EACH = 4;
    /** Bounds the memory that a member which does not read its replies can take. */
    private static final int MOST_ASKS = 10_000;

    private final AuthenticatedLink.Context common;
    private final Scheduler scheduler;
    private final LongSupplier nanos;
    private final LeaseExpiryTracker expiry;
    private final Set<Session> sessions = new LinkedHashSet<>();
    private final Map<Long, List<Consumer<Optional<Reply>>>> renewing = new LinkedHashMap<>();
    private final Map<Long, Long> renewals = new LinkedHashMap<>();
    private final Set<Long> expiring = new LinkedHashSet<>();
    private LeaseRegistry register = new LeaseRegistry();
    private long index;
    private CommandLog log;
    private boolean led;
    private int ticks;
    private long tickedAt;
    private boolean stopped;

    /** {@code nanos} is the monotonic clock. */
    public Voter(LeaseTerms terms, AuthenticatedLink.Context common, LongSupplier nanos) {
        this.common = common;
        this.scheduler = common.scheduler();
        this.nanos = nanos;
        this.expiry = new LeaseExpiryTracker(terms);
    }

    /** Starts to serve members, on this log. */
    public void start(CommandLog agreed) {
        log = agreed;
        tickedAt = nanos.getAsLong();
        tick();
    }

    /** Closes all connections and stops serving. */
    public void stop() {
        stopped = true;
        List.copyOf(sessions).forEach(session -> session.link.close(CloseReason.DISCONNECTED));
    }

    /** Creates the state machine for a connection that a member has opened. */
    public Protocol accept() {
        return new Session().link;
    }

    /** The registry after the commands applied so far. */
    public LeaseRegistry register() {
        return register;
    }

    // ---- log

    /** Applies the next command of the log and sends it to the members that follow. */
    public Reply applied(long at, Command command) {
        index = at;
        boolean wasLive = command instanceof Command.Expire expire && register.isLive(expire.token());
        Reply reply = register.apply(command);
        announcement(command, wasLive).ifPresent(announcement -> {
            byte[] bytes = RegistryCodec.bytes(announcement);
            byte[] message = RegistryCodec.packed(packer -> {
                packer.packInt(RegistryClient.APPLIED).packLong(at);
                RegistryClient.binary(packer, bytes);
            });
            sessions.stream().filter(session -> session.follows).forEach(session -> session.link.send(message));
        });
        return reply;
    }

    /**
     * The command to send to members. They don't follow renewals, so they can't decide whether an expiry took effect: one
     * that did is sent as an unconditional end of the lease.
     */
    private Optional<Command> announcement(Command command, boolean wasLive) {
        if (command instanceof Command.Expire expire) {
            return wasLive && !register.isLive(expire.token()) ? Optional.of(new Command.Leave(expire.token()))
                    : Optional.empty();
        }
        return command instanceof Command.Renew ? Optional.empty() : Optional.of(command);
    }

    /** Replaces the registry with a snapshot; members reconnect to load it. */
    public void restored(long at, byte[] state) {
        index = at;
        register = RegistryCodec.register(state);
        expiry.reset();
        sessions.forEach(session -> session.follows = false);
        List.copyOf(sessions).forEach(session -> session.link.close(CloseReason.OVERTAKEN));
    }

    /** A snapshot of the registry, from which the log can restart. */
    public byte[] snapshot() {
        return RegistryCodec.bytes(register);
    }

    // ---- clock

    private void tick() {
        if (stopped) {
            return;
        }
        boolean leads = log.isLeader();
        long now = nanos.getAsLong();
        if (now - tickedAt > OWN_STALL.toNanos()) {
            expiry.reset();   // after a stall of this process: renewals that arrived meanwhile are still unread
        }
        tickedAt = now;
        if (leads != led) {
            LOG.log(Level.INFO, leads ? "{0} leads the registry" : "{0} no longer leads the registry", common.name());
            led = leads;
            // Nobody could renew in the time without a leader: leases count from now.
            expiry.reset();
            if (!leads) {
                byte[] elsewhere = RegistryCodec.packed(packer -> packer.packInt(RegistryClient.ELSEWHERE));
                sessions.forEach(session -> session.link.send(elsewhere));
            }
        }
        // Followers track expiry too, each from its own applied renewals, so that a new leader has its own times.
        List<Command.Expire> due = expiry.dueLeases(register, now);
        if (leads) {
            for (Command.Expire one : due) {
                if (expiring.add(one.token())) {
                    log.append(one, applied -> expired(one, applied));
                }
            }
            if (++ticks % ALIVE_EACH == 0) {
                byte[] alive = RegistryCodec.packed(packer -> packer.packInt(RegistryClient.ALIVE).packLong(index));
                sessions.stream().filter(session -> session.follows).forEach(session -> session.link.send(alive));
            }
        }
        scheduler.after(TICK, this::tick);
    }

    private void expired(Command.Expire one, Optional<Reply> applied) {
        expiring.remove(one.token());
        if (applied.isPresent() && !register.isLive(one.token())) {
            LOG.log(Level.WARNING, "lease {0} has expired: it was not renewed in time", Long.toString(one.token()));
        }
    }

    // ---- members

    private void ask(Command command, Consumer<Optional<Reply>> answered) {
        if (!(command instanceof Command.Renew renew)) {
            log.append(command, answered);
            return;
        }
        for (Command.Renewal one : renew.renewals()) {
            renewals.merge(one.token(), one.number(), Math::max);
            renewing.computeIfAbsent(one.token(), token -> new ArrayList<>()).add(answered);
        }
        if (renewals.size() == renew.renewals().size()) {
            scheduler.after(GATHER, this::renew);
        }
    }

    private void renew() {
        List<Command.Renewal> all = new ArrayList<>();
        renewals.forEach((token, number) -> all.add(new Command.Renewal(token, number)));
        List<Consumer<Optional<Reply>>> waiting = new ArrayList<>();
        renewing.values().forEach(waiting::addAll);
        renewals.clear();
        renewing.clear();
        if (!all.isEmpty()) {
            log.append(new Command.Renew(all), applied -> waiting.forEach(one -> one.accept(applied)));
        }
    }

    private final class Session implements AuthenticatedLink.Listener {

        private final AuthenticatedLink link = new AuthenticatedLink(common, false, this);
        private boolean follows;
        private int asks;

        @Override
        public void authenticated(AuthenticatedLink up, String name) {
            if (!log.isLeader()) {
                link.send(RegistryCodec.packed(packer -> packer.packInt(RegistryClient.ELSEWHERE)));
                return;
            }
            sessions.add(this);
            follows = true;
            byte[] bytes = snapshot();
            link.send(RegistryCodec.packed(packer -> {
                packer.packInt(RegistryClient.STATE).packLong(index);
                RegistryClient.binary(packer, bytes);
            }));
        }

        @Override
        public void received(byte[] payload) {
            RegistryCodec.read(payload, unpacker -> {
                received(unpacker);
                return null;
            });
        }

        private void received(MessageUnpacker unpacker) throws IOException {
            int kind = unpacker.unpackInt();
            if (kind != RegistryClient.ASK) {
                throw new BadInput("unknown message kind " + kind + " from a member");
            }
            long id = unpacker.unpackLong();
            Command command = RegistryCodec.command(RegistryClient.binary(unpacker));
            if (command instanceof Command.Expire) {
                throw new BadInput("members may not expire leases");
            }
            if (++asks > MOST_ASKS) {
                throw new BadInput("more than 10000 pending requests of one member");
            }
            ask(command, applied -> {
                asks--;
                applied.ifPresent(reply -> {
                    byte[] bytes = RegistryCodec.bytes(reply);
                    link.send(RegistryCodec.packed(packer -> {
                        packer.packInt(RegistryClient.ANSWER).packLong(id);
                        RegistryClient.binary(packer, bytes);
                    }));
                });
            });
        }

        @Override
        public void closed(CloseReason end) {
            sessions.remove(this);
        }
    }
}
