package pathlane.lab.capacity.measure;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import pathlane.lab.rig.IdleGroup;

/** Measures the cost of the group's lease registry for a member and a voter, with idle processes, by members. */
final class RegistryCost {

    private static final int[] MEMBERS = {3, 6, 12, 24};

    private RegistryCost() {}

    static void measure(Path home, Recorder recorder, int repetitions) throws IOException, InterruptedException {
        for (int members : MEMBERS) {
            List<IdleGroup.CostPerSecond> seconds = IdleGroup.measure(home, members, repetitions);
            for (int repetition = 1; repetition <= seconds.size(); repetition++) {
                IdleGroup.CostPerSecond second = seconds.get(repetition - 1);
                recorder.record("register-member-bytes-per-second", members, repetition, second.memberToVoters());
                recorder.record("group-member-bytes-per-second", members, repetition, second.memberToMembers());
                recorder.record("register-voter-bytes-per-second", members, repetition, second.voterToMembers());
                recorder.record("register-voter-log-bytes-per-second", members, repetition, second.voterToVoters());
                recorder.record("register-member-cpu-ms-per-second", members, repetition, second.memberCpuMillis());
                recorder.record("register-voter-cpu-ms-per-second", members, repetition, second.voterCpuMillis());
            }
        }
    }
}
