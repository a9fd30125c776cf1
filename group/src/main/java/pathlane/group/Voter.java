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
 * A voter's part towards members: it holds the register as the agreed log makes it, carries out what members ask while it
 * leads, lets them follow, gathers their renewals, and ends leases that were not renewed. On the loop's thread.
 */
public final class Voter {

    private static final Logger LOG = System.getLogger("register");
    private static final Duration GATHER = Duration.ofMillis(20);
    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration OWN_STALL = Duration.ofMillis(500);
    private static final int ALIVE_EACH = 4;
    /** Guards a follower that does not read against taking the voter's memory. */
    private static final int MOST_ASKS = 10_000;

    private final SealedLink.Common common;
    private final Scheduler scheduler;
    private final LongSupplier nanos;
    private final ExpiryWatch expiry;
    private final Set<Session> sessions = new LinkedHashSet<>();
    private final Map<Long, List<Consumer<Optional<Reply>>>> renewing = new LinkedHashMap<>();
    private final Map<Long, Long> renewals = new LinkedHashMap<>();
    private final Set<Long> expiring = new LinkedHashSet<>();
    private Register register = new Register();
    private long index;
    private AgreedLog log;
    private boolean led;
    private int ticks;
    private long tickedAt;
    private boolean stopped;

    /** {@code nanos} is the monotonic clock. */
    public Voter(LeaseTerms terms, SealedLink.Common common, LongSupplier nanos) {
        this.common = common;
        this.scheduler = common.scheduler();
        this.nanos = nanos;
        this.expiry = new ExpiryWatch(terms);
    }

    /** Begins to serve, on this log. */
    public void start(AgreedLog agreed) {
        log = agreed;
        tickedAt = nanos.getAsLong();
        tick();
    }

    public void stop() {
        stopped = true;
        List.copyOf(sessions).forEach(session -> session.link.end(CloseReason.DISCONNECTED));
    }

    /** The state machine for a connection that a member has opened. */
    public Protocol accept() {
        return new Session().link;
    }

    public Register register() {
        return register;
    }

    // ---- from the log

    /** The next command of the log. */
    public Reply applied(long at, Command command) {
        index = at;
        boolean wasLive = command instanceof Command.Expire expire && register.isLive(expire.token());
        Reply reply = register.apply(command);
        announcement(command, wasLive).ifPresent(announcement -> {
            byte[] bytes = RegisterCodec.bytes(announcement);
            byte[] message = RegisterCodec.packed(packer -> {
                packer.packInt(RegisterClient.APPLIED).packLong(at);
                RegisterClient.binary(packer, bytes);
            });
            sessions.stream().filter(session -> session.follows).forEach(session -> session.link.write(message));
        });
        return reply;
    }

    /**
     * What members are told of a command. They don't follow renewals, so they could not judge by themselves whether an end
     * was void: one that took place is told as an end without a condition.
     */
    private Optional<Command> announcement(Command command, boolean wasLive) {
        if (command instanceof Command.Expire expire) {
            return wasLive && !register.isLive(expire.token()) ? Optional.of(new Command.Leave(expire.token()))
                    : Optional.empty();
        }
        return command instanceof Command.Renew ? Optional.empty() : Optional.of(command);
    }

    /** The log begins anew from this. */
    public void restored(long at, byte[] state) {
        index = at;
        register = RegisterCodec.register(state);
        expiry.forget();
        sessions.forEach(session -> session.follows = false);
        List.copyOf(sessions).forEach(session -> session.link.end(CloseReason.OVERTAKEN));
    }

    /** All of the register, for a new beginning of the log. */
    public byte[] state() {
        return RegisterCodec.bytes(register);
    }

    // ---- from the clock

    private void tick() {
        if (stopped) {
            return;
        }
        boolean leads = log.leads();
        long now = nanos.getAsLong();
        if (now - tickedAt > OWN_STALL.toNanos()) {
            expiry.forget();   // guards leases against an own stall: what came meanwhile has not been read
        }
        tickedAt = now;
        if (leads != led) {
            LOG.log(Level.INFO, leads ? "{0} leads the register" : "{0} leads the register no more", common.name());
            led = leads;
            // Guards leases against the time without a leader, in which nobody could renew: they count from now.
            expiry.forget();
            if (!leads) {
                byte[] elsewhere = RegisterCodec.packed(packer -> packer.packInt(RegisterClient.ELSEWHERE));
                sessions.forEach(session -> session.link.write(elsewhere));
            }
        }
        // Each voter counts from when it applied a renewal itself, so that one that begins to lead has its own times.
        List<Command.Expire> due = expiry.look(register, now);
        if (leads) {
            for (Command.Expire one : due) {
                if (expiring.add(one.token())) {
                    log.add(one, applied -> expired(one, applied));
                }
            }
            if (++ticks % ALIVE_EACH == 0) {
                byte[] alive = RegisterCodec.packed(packer -> packer.packInt(RegisterClient.ALIVE).packLong(index));
                sessions.stream().filter(session -> session.follows).forEach(session -> session.link.write(alive));
            }
        }
        scheduler.after(TICK, this::tick);
    }

    private void expired(Command.Expire one, Optional<Reply> applied) {
        expiring.remove(one.token());
        if (applied.isPresent() && !register.isLive(one.token())) {
            LOG.log(Level.WARNING, "lease {0} has ended: it was not renewed", Long.toString(one.token()));
        }
    }

    // ---- from members

    private void ask(Command command, Consumer<Optional<Reply>> answered) {
        if (!(command instanceof Command.Renew renew)) {
            log.add(command, answered);
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
            log.add(new Command.Renew(all), applied -> waiting.forEach(one -> one.accept(applied)));
        }
    }

    private final class Session implements SealedLink.Upper {

        private final SealedLink link = new SealedLink(common, false, this);
        private boolean follows;
        private int asks;

        @Override
        public void up(SealedLink up, String name) {
            if (!log.leads()) {
                link.write(RegisterCodec.packed(packer -> packer.packInt(RegisterClient.ELSEWHERE)));
                return;
            }
            sessions.add(this);
            follows = true;
            byte[] bytes = state();
            link.write(RegisterCodec.packed(packer -> {
                packer.packInt(RegisterClient.STATE).packLong(index);
                RegisterClient.binary(packer, bytes);
            }));
        }

        @Override
        public void message(byte[] payload) {
            RegisterCodec.read(payload, unpacker -> {
                message(unpacker);
                return null;
            });
        }

        private void message(MessageUnpacker unpacker) throws IOException {
            int kind = unpacker.unpackInt();
            if (kind != RegisterClient.ASK) {
                throw new BadInput("a message of kind " + kind + " from a member");
            }
            long id = unpacker.unpackLong();
            Command command = RegisterCodec.command(RegisterClient.binary(unpacker));
            if (command instanceof Command.Expire) {
                throw new BadInput("a member that wants to end leases");
            }
            if (++asks > MOST_ASKS) {
                throw new BadInput("more asked at once than any member does");
            }
            ask(command, applied -> {
                asks--;
                applied.ifPresent(reply -> {
                    byte[] bytes = RegisterCodec.bytes(reply);
                    link.write(RegisterCodec.packed(packer -> {
                        packer.packInt(RegisterClient.ANSWER).packLong(id);
                        RegisterClient.binary(packer, bytes);
                    }));
                });
            });
        }

        @Override
        public void down(CloseReason end) {
            sessions.remove(this);
        }
    }
}
