package pathlane.lab;

import io.microraft.model.message.RaftMessage;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import pathlane.core.Scheduler;
import pathlane.group.AuthenticatedLink;
import pathlane.group.KeyRing;
import pathlane.group.LeaseTerms;
import pathlane.group.Voter;
import pathlane.transport.Protocol;
import pathlane.transport.RateLimitedLog;
import pathlane.voter.RaftLog;

/** A simulated voter: the real implementation with an in-memory store; messages over a blocked link are lost. */
public final class VirtualVoter {

    private static final int NONCE_BYTES = 16;

    private final String name;
    private final Scheduler world;
    private final Faults faults;
    private final SplittableRandom random;
    private final LeaseTerms lease;
    private final KeyRing keys;
    private final MemoryStore store = new MemoryStore();
    private List<VirtualVoter> voters = List.of();
    private SimulatedProcess time;
    private Voter voter;
    private RaftLog log;

    VirtualVoter(String name, Scheduler world, Faults faults, SplittableRandom random, LeaseTerms lease,
            KeyRing keys) {
        this.name = name;
        this.world = world;
        this.faults = faults;
        this.random = random;
        this.lease = lease;
        this.keys = keys;
    }

    String name() {
        return name;
    }

    SimulatedProcess time() {
        return time;
    }

    boolean isUp() {
        return time != null && !time.isDead();
    }

    Protocol accept() {
        return time.guard(voter.accept());
    }

    void start(List<VirtualVoter> group) {
        voters = group;
        time = new SimulatedProcess(world, 1 + (random.nextDouble() - 0.5) * 2 * lease.drift() * 0.9);
        SimulatedProcess processTime = time;
        AuthenticatedLink.Context common = new AuthenticatedLink.Context(name, () -> keys, () -> {
            byte[] nonce = new byte[NONCE_BYTES];
            random.nextBytes(nonce);
            return nonce;
        }, processTime, new RateLimitedLog("register", processTime));
        voter = new Voter(lease, common, processTime::nanos);
        log = new RaftLog(name, voters.stream().map(VirtualVoter::name).toList(), voter, processTime, processTime::nanos,
                new RaftLog.Sender() {
                    @Override
                    public void send(String to, RaftMessage message) {
                        VirtualVoter other = voters.get(Integer.parseInt(to.substring(1)) - 1);
                        if (!faults.direction(name, to).isBlocked) {
                            world.after(VirtualFleet.LATENCY, () -> other.received(message));
                        }
                    }

                    @Override
                    public boolean isReachable(String to) {
                        return !faults.direction(name, to).isBlocked;
                    }
                }, store, store.restored(), new Random(random.nextLong()));
        log.start();
        voter.start(log);
    }

    private void received(RaftMessage message) {
        if (isUp()) {
            time.run(() -> log.received(message));
        }
    }

    /** Kills the process; its store is kept. */
    void kill() {
        if (isUp()) {
            time.kill();
            faults.processDied(name);
        }
    }

    void restart() {
        start(voters);
    }

    /** Whether this voter is the Raft leader. */
    public boolean isLeader() {
        return isUp() && log.isLeader();
    }
}
