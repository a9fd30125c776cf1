import java.util.ArrayList;
import java.util.List;

/** A server peer stalls while sessions are ended, and its connection is reset: are the ends sent again? */
final class ProbeTermination {

    public static void main(String[] args) throws Exception {
        Rig.main(args, ProbeTermination::run);
    }

    private static boolean run(Rig rig) throws Exception {
        List<DiaServer> servers = List.of(new DiaServer(rig, "signing-1.pathlane.example", 100, new ArrayList<>()),
                new DiaServer(rig, "signing-2.pathlane.example", 100, new ArrayList<>()));
        int port = Rig.freePort();
        Program controller = rig.start("controller", "exec java -jar daemon/target/pathlane.jar diameter "
                + CaseResend.config(rig, port, servers));
        controller.await("serves on", 20_000);
        controller.await("peer signing-1.pathlane.example is OKAY", 20_000);
        controller.await("peer signing-2.pathlane.example is OKAY", 20_000);
        DiaClient client = new DiaClient(rig, "office-1.office.example", port);
        client.connect();
        for (int n = 0; n < 8; n++) {
            client.request("office-1.office.example;1;" + n, 1, 1000 + n, false);
            Rig.sleep(300);
        }
        for (DiaServer server : servers) {
            rig.rec.say(server.host + " holds " + server.standing());
            if (rig.hasTrouble) {
                server.stall();
            }
        }
        for (int n = 0; n < 8; n++) {
            client.request("office-1.office.example;1;" + n, 3, 2000 + n, false);
            Rig.sleep(50);
        }
        Rig.sleep(500);
        if (rig.hasTrouble) {
            for (DiaServer server : servers) {
                server.resetConnections();
            }
        }
        Rig.sleep(30_000);
        int broken = 0;
        for (DiaServer server : servers) {
            rig.rec.say(server.host + " still holds " + server.standing());
            broken += server.standing().size();
        }
        return broken == 0;
    }
}
