package pathlane.voter;

import io.microraft.Ordered;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import pathlane.core.Scheduler;
import pathlane.group.Command;
import pathlane.group.CommandLog;
import pathlane.group.RegistryCodec;
import pathlane.group.Reply;
import pathlane.group.Voter;

/**
 * The registry's replicated log, on which voters agree by Raft. Runs on the scheduler that it is given, in virtual time as
 * well; confined to that scheduler's thread.
 *
 * <p>The library measures its heartbeats in full seconds. Its clock therefore runs {@link #SPEED} times as fast here: a
 * leader sends a heartbeat every 200 ms and is considered lost after 600 ms without one.
 */
public final class RaftLog implements CommandLog {

    private static final int SPEED = 5;
    private static final long HEARTBEAT_TIMEOUT_S = 3;
    private static final long HEARTBEAT_S = 1;
    private static final long ELECTION_TIMEOUT_MS = 1500;
    /** How many commands pass between snapshots of the registry; keeps the log on disk at some megabytes. */
    private static final int SNAPSHOT_EACH = 10_000;
    private static final int REPORT_S = 3600;
    private static final String GROUP = "register";
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** A voter, identified by its name. */
    public record Name(String name) implements RaftEndpoint {
        @Override
        public Object getId() {
            return name;
        }
    }

    private static final byte[] NEW_TERM = {};

    private final RaftNode node;
    private final Voter voter;
    private final Name self;

    /**
     * Creates a log that {@link #start} starts.
     *
     * @param voters the names of all voters including this one; the same at each voter, and never changed
     * @param send sends messages to other voters; a lost message is not sent again
     * @param restored the state found in the store, if any
     * @param nanos the monotonic clock
     */
    public RaftLog(String name, List<String> voters, Voter voter, Scheduler scheduler, LongSupplier nanos, Sender send,
            RaftStore store, Optional<RestoredRaftState> restored, Random random) {
        this.voter = voter;
        this.self = new Name(name);
        RaftConfig config = RaftConfig.newBuilder().setLeaderElectionTimeoutMillis(ELECTION_TIMEOUT_MS)
                .setLeaderHeartbeatTimeoutSecs(HEARTBEAT_TIMEOUT_S).setLeaderHeartbeatPeriodSecs(HEARTBEAT_S)
                .setCommitCountToTakeSnapshot(SNAPSHOT_EACH).setRaftNodeReportPublishPeriodSecs(REPORT_S).build();
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder().setGroupId(GROUP).setConfig(config)
                .setExecutor(new Executor(scheduler)).setTransport(new Away(send)).setStateMachine(new Machine())
                .setStore(store).setRandom(random).setClock(new FastClock(nanos)).setRaftNodeReportListener(report -> {});
        if (restored.isPresent()) {
            builder.setRestoredState(restored.get());
        } else {
            builder.setLocalEndpoint(self).setInitialGroupMembers(voters.stream().<RaftEndpoint>map(Name::new).toList());
        }
        node = builder.build();
    }

    /** Sends messages to other voters. */
    public interface Sender {
        void send(String voter, RaftMessage message);

        boolean isReachable(String voter);
    }

    public void start() {
        node.start();
    }

    public void stop() {
        node.terminate();
    }

    /** Handles a message from another voter. */
    public void received(RaftMessage message) {
        node.handle(message);
    }

    @Override
    public boolean isLeader() {
        return node.getStatus() == RaftNodeStatus.ACTIVE && self.equals(node.getTerm().getLeaderEndpoint());
    }

    @Override
    public void append(Command command, Consumer<Optional<Reply>> applied) {
        CompletableFuture<Ordered<byte[]>> done = node.replicate(RegistryCodec.bytes(command));
        done.whenComplete((ordered, failed) -> applied.accept(failed != null ? Optional.empty()
                : Optional.of(RegistryCodec.reply(ordered.getResult()))));
    }

    private final class Machine implements StateMachine {

        @Override
        public Object runOperation(long commitIndex, Object operation) {
            byte[] bytes = (byte[]) operation;
            return bytes.length == 0 ? NEW_TERM
                    : RegistryCodec.bytes(voter.applied(commitIndex, RegistryCodec.command(bytes)));
        }

        @Override
        public void takeSnapshot(long commitIndex, Consumer<Object> chunks) {
            chunks.accept(voter.snapshot());
        }

        @Override
        public void installSnapshot(long commitIndex, List<Object> chunks) {
            voter.restored(commitIndex, (byte[]) chunks.get(0));
        }

        @Override
        public Object getNewTermOperation() {
            return NEW_TERM;
        }
    }

    private record Executor(Scheduler scheduler) implements RaftNodeExecutor {

        @Override
        public void execute(Runnable task) {
            scheduler.after(Duration.ZERO, task);
        }

        @Override
        public void submit(Runnable task) {
            scheduler.after(Duration.ZERO, task);
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            scheduler.after(Duration.ofNanos(unit.toNanos(delay) / SPEED), task);
        }
    }

    private record Away(Sender send) implements Transport {

        @Override
        public void send(RaftEndpoint target, RaftMessage message) {
            send.send((String) target.getId(), message);
        }

        @Override
        public boolean isReachable(RaftEndpoint endpoint) {
            return send.isReachable((String) endpoint.getId());
        }
    }

    /** The monotonic clock, accelerated for the library. */
    private static final class FastClock extends Clock {

        private final LongSupplier nanos;

        FastClock(LongSupplier nanos) {
            this.nanos = nanos;
        }

        @Override
        public long millis() {
            return nanos.getAsLong() / NANOS_PER_MILLI * SPEED;
        }

        @Override
        public Instant instant() {
            return Instant.ofEpochMilli(millis());
        }

        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }
    }
}
