import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A client's connection closes under its requests; it connects again and sends them again, as Diameter clients do. */
final class CaseResend {

    private static final int SESSIONS = 12;
    private static final int ANSWER_MILLIS = 700;

    public static void main(String[] args) throws Exception {
        Rig.main(args, CaseResend::run);
    }

    static Path config(Rig rig, int port, List<DiaServer> servers) throws Exception {
        String peers = String.join(",", servers.stream().map(server -> "{\"host\":\"" + server.host
                + "\",\"address\":\"127.0.0.1:" + server.listening.getLocalPort() + "\"}").toList());
        Path file = rig.temp.resolve("diameter.json");
        Files.writeString(file, "{\"host\":\"controller.pathlane.example\",\"realm\":\"pathlane.example\",\"listen\":"
                + "\"127.0.0.1:" + port + "\",\"limits\":{\"sockets\":1024},\"watchdog-ms\":6000,\"peers\":[" + peers
                + "],\"classes\":[{\"name\":\"status-check\",\"patience-ms\":3000},"
                + "{\"name\":\"deadline-sign\",\"service\":6,\"patience-ms\":2000}],\"settings\":" + Config.SETTINGS + "}");
        return file;
    }

    private static boolean run(Rig rig) throws Exception {
        List<DiaServer.Attempt> attempts = new ArrayList<>();
        List<DiaServer> servers = List.of(new DiaServer(rig, "signing-1.pathlane.example", ANSWER_MILLIS, attempts),
                new DiaServer(rig, "signing-2.pathlane.example", ANSWER_MILLIS, attempts));
        int port = Rig.freePort();
        Program controller = rig.start("controller", "exec java -jar daemon/target/pathlane.jar diameter "
                + config(rig, port, servers));
        controller.await("serves on", 20_000);
        controller.await("peer signing-1.pathlane.example is OKAY", 20_000);
        controller.await("peer signing-2.pathlane.example is OKAY", 20_000);
        DiaClient client = new DiaClient(rig, "office-1.office.example", port);
        client.connect();
        for (int n = 0; n < SESSIONS; n++) {
            String session = "office-1.office.example;1;" + n;
            client.request(session, 1, 1000 + n, false);
            Rig.sleep(300);
            if (rig.hasTrouble) {
                client.close();
                client.connect();
                client.request(session, 1, 1000 + n, true);
            }
            Rig.sleep(2_400);
            if (client.result(session) != null && client.result(session) == 2001) {
                client.request(session, 3, 5000 + n, false);
            }
            Rig.sleep(300);
        }
        Rig.require(controller.isAlive(), "the call controller is gone");
        int broken = 0;
        synchronized (attempts) {
            for (DiaServer.Attempt first : attempts) {
                for (DiaServer.Attempt second : attempts) {
                    if (first != second && first.session.equals(second.session) && first.from <= second.from
                            && !(first.until <= second.from)) {
                        broken++;
                        rig.rec.say(String.format("%s is out twice: at %s since %.3f, at %s since %.3f", first.session,
                                first.server, first.from, second.server, second.from));
                    }
                }
            }
        }
        rig.rec.say(broken + " sessions had two attempts out at once");
        return broken == 0;
    }
}
