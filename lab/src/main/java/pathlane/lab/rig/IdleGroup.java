package pathlane.lab.rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import pathlane.group.LeaseTerms;
import pathlane.lab.Folders;

/** Measures the cost of a group of idle controllers and its lease registry, with real processes. */
public final class IdleGroup {

    private static final int SERVERS = 2;
    private static final int VOTERS = 3;
    private static final int REPLICAS = 2;
    private static final Duration WARM_UP = Duration.ofSeconds(2);
    private static final Duration WINDOW = Duration.ofSeconds(2);

    private IdleGroup() {}

    /**
     * Cost per second of one member and one voter, as the mean over all of them.
     *
     * @param memberToVoters bytes that a member writes to voters
     * @param memberToMembers bytes that a member writes to other members
     * @param voterToMembers bytes that a voter writes to all members
     * @param voterToVoters bytes that a voter writes to the other voters
     * @param memberCpuMillis processor time of a member
     * @param voterCpuMillis processor time of a voter
     */
    public record CostPerSecond(double memberToVoters, double memberToMembers, double voterToMembers, double voterToVoters,
            double memberCpuMillis, double voterCpuMillis) {}

    /** Totals over the group so far. */
    private record Totals(long memberToVoters, long memberToMembers, long voterToMembers, long voterToVoters,
            Duration memberCpu, Duration voterCpu) {}

    /** Measures a group of this many members over several consecutive windows. */
    public static List<CostPerSecond> measure(Path projectRoot, int members, int windows)
            throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("pathlane-lab");
        List<CostPerSecond> seconds = new ArrayList<>();
        Rig.Shape shape = new Rig.Shape(members, SERVERS, VOTERS, REPLICAS, LeaseTerms.DEFAULT, Duration.ofMillis(5), 20_000,
                Duration.ofSeconds(5));
        try (Rig rig = new Rig(shape, projectRoot, folder, members)) {
            rig.start();
            Thread.sleep(WARM_UP.toMillis());
            for (int window = 0; window < windows; window++) {
                Totals before = totals(rig);
                Thread.sleep(WINDOW.toMillis());
                seconds.add(second(before, totals(rig), members));
            }
        }
        Folders.delete(folder);
        return seconds;
    }

    private static Totals totals(Rig rig) throws InterruptedException {
        return rig.callOnLoop(() -> new Totals(rig.faults().bytes("n", "v"), rig.faults().bytes("n", "n"),
                rig.faults().bytes("v", "n"), rig.faults().bytes("v", "v"), cpu(rig, "n"), cpu(rig, "v")));
    }

    private static Duration cpu(Rig rig, String prefix) {
        return rig.processNames(prefix).stream().map(name -> rig.process(name).cpu()).reduce(Duration.ZERO, Duration::plus);
    }

    private static CostPerSecond second(Totals before, Totals after, int members) {
        double memberSeconds = (double) members * WINDOW.toSeconds();
        double voterSeconds = (double) VOTERS * WINDOW.toSeconds();
        return new CostPerSecond((after.memberToVoters - before.memberToVoters) / memberSeconds,
                (after.memberToMembers - before.memberToMembers) / memberSeconds,
                (after.voterToMembers - before.voterToMembers) / voterSeconds,
                (after.voterToVoters - before.voterToVoters) / voterSeconds,
                after.memberCpu.minus(before.memberCpu).toMillis() / memberSeconds,
                after.voterCpu.minus(before.voterCpu).toMillis() / voterSeconds);
    }
}
