import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A group of three Diameter call controllers. A client's connection to one of them closes; it sends its request again to
 * another member. Either the answer was on its way (the session stands already) or the attempt is still out.
 */
final class ProbeGroupResend {

    private static final int ANSWER_MILLIS = 500;

    public static void main(String[] args) throws Exception {
        Rig.main(args, ProbeGroupResend::run);
    }

    private static boolean run(Rig rig) throws Exception {
        List<DiaServer.Attempt> attempts = new ArrayList<>();
        List<DiaServer> servers = List.of(new DiaServer(rig, "signing-1.pathlane.example", ANSWER_MILLIS, attempts),
                new DiaServer(rig, "signing-2.pathlane.example", ANSWER_MILLIS, attempts));
        Path keys = rig.temp.resolve("group.keys");
        Files.writeString(keys, "k1 " + "5a".repeat(32) + "\n");
        int[] members = new int[3];
        int[] voterPorts = new int[3];
        for (int i = 0; i < 3; i++) {
            members[i] = Rig.freePort();
            voterPorts[i] = Rig.freePort();
        }
        String voters = "";
        String addresses = "";
        for (int i = 0; i < 3; i++) {
            voters += (i == 0 ? "" : ", ") + "\"v" + (i + 1) + "=127.0.0.1:" + voterPorts[i] + "\"";
            addresses += (i == 0 ? "" : ", ") + "\"127.0.0.1:" + members[i] + "\"";
        }
        String lease = "[lease]\nlength-ms = 3000\ndrift = 0.01\nwrite-lag-ms = 100\n";
        for (int i = 0; i < 3; i++) {
            Path file = rig.temp.resolve("v" + i + ".toml");
            Files.writeString(file, "name = \"v" + (i + 1) + "\"\nmembers = \"127.0.0.1:" + members[i] + "\"\nvoters = ["
                    + voters + "]\nkeys = \"group.keys\"\nstore = \"v" + i + ".store\"\n" + lease);
            rig.start("v" + (i + 1), "exec java -jar voter/target/pathlane-voter.jar " + file);
        }
        List<DiaClient> clients = new ArrayList<>();
        List<Program> controllers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            int port = Rig.freePort();
            Path own = CaseResend.config(rig, port, servers);
            Path config = rig.temp.resolve("c" + i + ".json");
            Files.writeString(config, Files.readString(own).replace("controller.pathlane.example",
                    "controller-" + i + ".pathlane.example"));
            Path group = rig.temp.resolve("g" + i + ".toml");
            Files.writeString(group, "listen = \"127.0.0.1:" + Rig.freePort() + "\"\nvoters = [" + addresses
                    + "]\nkeys = \"group.keys\"\ncopies = 2\n" + lease);
            controllers.add(rig.start("c" + i, "exec java -jar daemon/target/pathlane.jar diameter " + config + " --group "
                    + group));
            clients.add(new DiaClient(rig, "office-1.office.example", port));
        }
        for (Program controller : controllers) {
            controller.await("serves on", 30_000);
            controller.await("replicated=true members=3", 30_000);
        }
        Rig.sleep(1000);
        for (int n = 0; n < 6; n++) {
            String session = "office-1.office.example;9;" + n;
            DiaClient first = clients.get(0);
            DiaClient second = clients.get(1);
            first.connect(!rig.hasTrouble);
            first.request(session, 1, 1000 + n, false);
            // Even ones: the attempt is out; odd ones: the session stands, and its answer is on its way.
            Rig.sleep(n % 2 == 0 ? 200 : 800);
            if (rig.hasTrouble) {
                first.close();
                second.connect();
                second.request(session, 1, 1000 + n, true);
            }
            DiaClient last = rig.hasTrouble ? second : first;
            Rig.sleep(3_500);
            last.request(session, 3, 5000 + n, false);
            Rig.sleep(300);
            last.close();
        }
        Rig.sleep(1000);
        synchronized (attempts) {
            for (DiaServer.Attempt attempt : attempts) {
                rig.rec.say(String.format("%s at %s from %.3f until %.3f", attempt.session, attempt.server, attempt.from,
                        attempt.until));
            }
        }
        for (DiaServer server : servers) {
            rig.rec.say(server.host + " still holds " + server.standing());
        }
        return servers.stream().allMatch(server -> server.standing().isEmpty());
    }
}
