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
 * <p>The library measures its heartbeats in full seconds. Its clock therefore runs {@link #CLOCK_SPEED} times as fast here:
 * a leader sends a heartbeat every 200 ms and is considered lost after 600 ms without one.
 */
public final class RaftLog implements CommandLog {

    private static final int CLOCK_SPEED = 5;
    private static final long HEARTBEAT_TIMEOUT_S = 3;
    private static final long HEARTBEAT_PERIOD_S = 1;
    private static final long ELECTION_TIMEOUT_MS = 1500;
    /** How many commands pass between snapshots of the registry; keeps the log on disk at some megabytes. */
    private static final int COMMANDS_PER_SNAPSHOT = 10_000;
    private static final int REPORT_PERIOD_S = 3600;
    private static final String GROUP_ID = "register";
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** A voter, identified by its name. */
    public record VoterEndpoint(String name) implements RaftEndpoint {
        @Override
        public Object getId() {
            return name;
        }
    }

    private static final byte[] NEW_TERM_OPERATION = {};

    private final RaftNode node;
    private final Voter voter;
    private final VoterEndpoint localEndpoint;

    /**
     * Creates a log that {@link #start} starts.
     *
     * @param voters the names of all voters including this one; the same at each voter, and never changed
     * @param sender sends messages to other voters; a lost message is not sent again
     * @param restoredState the state found in the store, if any
     * @param nanoClock the monotonic clock
     */
    public RaftLog(String name, List<String> voters, Voter voter, Scheduler scheduler, LongSupplier nanoClock, Sender sender,
            RaftStore store, Optional<RestoredRaftState> restoredState, Random random) {
        this.voter = voter;
        this.localEndpoint = new VoterEndpoint(name);
        RaftConfig config = RaftConfig.newBuilder().setLeaderElectionTimeoutMillis(ELECTION_TIMEOUT_MS)
                .setLeaderHeartbeatTimeoutSecs(HEARTBEAT_TIMEOUT_S).setLeaderHeartbeatPeriodSecs(HEARTBEAT_PERIOD_S)
                .setCommitCountToTakeSnapshot(COMMANDS_PER_SNAPSHOT).setRaftNodeReportPublishPeriodSecs(REPORT_PERIOD_S)
                .build();
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder().setGroupId(GROUP_ID).setConfig(config)
                .setExecutor(new SchedulerExecutor(scheduler)).setTransport(new SenderTransport(sender))
                .setStateMachine(new RegistryStateMachine())
                .setStore(store).setRandom(random).setClock(new AcceleratedClock(nanoClock))
                .setRaftNodeReportListener(report -> {});
        if (restoredState.isPresent()) {
            builder.setRestoredState(restoredState.get());
        } else {
            builder.setLocalEndpoint(localEndpoint)
                    .setInitialGroupMembers(voters.stream().<RaftEndpoint>map(VoterEndpoint::new).toList());
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
        return node.getStatus() == RaftNodeStatus.ACTIVE && localEndpoint.equals(node.getTerm().getLeaderEndpoint());
    }

    @Override
    public void append(Command command, Consumer<Optional<Reply>> onApplied) {
        CompletableFuture<Ordered<byte[]>> commit = node.replicate(RegistryCodec.encode(command));
        commit.whenComplete((result, failure) -> onApplied.accept(failure != null ? Optional.empty()
                : Optional.of(RegistryCodec.decodeReply(result.getResult()))));
    }

    private final class RegistryStateMachine implements StateMachine {

        @Override
        public Object runOperation(long commitIndex, Object operation) {
            byte[] encoded = (byte[]) operation;
            return encoded.length == 0 ? NEW_TERM_OPERATION
                    : RegistryCodec.encode(voter.apply(commitIndex, RegistryCodec.decodeCommand(encoded)));
        }

        @Override
        public void takeSnapshot(long commitIndex, Consumer<Object> chunks) {
            chunks.accept(voter.snapshot());
        }

        @Override
        public void installSnapshot(long commitIndex, List<Object> chunks) {
            voter.restore(commitIndex, (byte[]) chunks.get(0));
        }

        @Override
        public Object getNewTermOperation() {
            return NEW_TERM_OPERATION;
        }
    }

    private record SchedulerExecutor(Scheduler scheduler) implements RaftNodeExecutor {

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
            scheduler.after(Duration.ofNanos(unit.toNanos(delay) / CLOCK_SPEED), task);
        }
    }

    private record SenderTransport(Sender sender) implements Transport {

        @Override
        public void send(RaftEndpoint target, RaftMessage message) {
            sender.send((String) target.getId(), message);
        }

        @Override
        public boolean isReachable(RaftEndpoint endpoint) {
            return sender.isReachable((String) endpoint.getId());
        }
    }

    /** The monotonic clock, accelerated for the library. */
    private static final class AcceleratedClock extends Clock {

        private final LongSupplier nanoClock;

        AcceleratedClock(LongSupplier nanoClock) {
            this.nanoClock = nanoClock;
        }

        @Override
        public long millis() {
            return nanoClock.getAsLong() / NANOS_PER_MILLI * CLOCK_SPEED;
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
