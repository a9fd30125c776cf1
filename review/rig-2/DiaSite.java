import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** A call controller for Diameter peers and its server peers; the configuration is that of deploy/diameter.json. */
final class DiaSite {

    /** A server peer: its process and the lines that it has printed. */
    static final class Server {
        final String host;
        final int port;
        final List<String> lines = new CopyOnWriteArrayList<>();
        Process process;

        Server(String host, int port) {
            this.host = host;
            this.port = port;
        }

        boolean said(String line) {
            return lines.stream().anyMatch(said -> said.startsWith(line));
        }

        long count(String line) {
            return lines.stream().filter(said -> said.startsWith(line)).count();
        }

        void tell(String command) throws IOException {
            process.getOutputStream().write((command + "\n").getBytes());
            process.getOutputStream().flush();
        }
    }

    final Rig rig;
    final int port = Rig.freePort();
    final List<Server> servers = new ArrayList<>();
    private final Path config;
    Process controller;

    /** Starts the servers and the controller, which reaches server i at {@code reachedAt[i]}, or directly if that is 0. */
    DiaSite(Rig rig, int serverCount) throws Exception {
        this.rig = rig;
        this.config = rig.folder.resolve("diameter.json");
        for (int i = 1; i <= serverCount; i++) {
            servers.add(new Server("signing-" + i + ".pathlane.example", Rig.freePort()));
            startServer(servers.get(i - 1));
        }
    }

    void startServer(Server server) throws Exception {
        long before = server.count("listens");
        server.process = rig.standIn(server.host, line -> {
            rig.note(server.host + ": " + line);
            server.lines.add(line);
        }, "DiaServer", Integer.toString(server.port), server.host);
        rig.require(10_000, "a server did not start", () -> server.count("listens") > before);
    }

    /** Starts the controller and waits until it is connected to every server. */
    void startController(int... reachedAt) throws Exception {
        StringBuilder peers = new StringBuilder();
        for (int i = 0; i < servers.size(); i++) {
            int reached = i < reachedAt.length && reachedAt[i] != 0 ? reachedAt[i] : servers.get(i).port;
            peers.append(i == 0 ? "" : ",").append("{\"host\":\"").append(servers.get(i).host)
                    .append("\",\"address\":\"127.0.0.1:").append(reached).append("\"}");
        }
        Files.writeString(config, """
                {"host": "controller.pathlane.example", "realm": "pathlane.example", "listen": "127.0.0.1:%d",
                 "limits": {"sockets": 1024}, "watchdog-ms": 6000, "peers": [%s],
                 "classes": [{"name": "status-check", "patience-ms": 3000},
                             {"name": "deadline-sign", "service": 6, "patience-ms": 2000}],
                 "settings": {"balancers": 1, "tick-ms": 5,
                   "lanes": [{"name": "status-check", "aim-ms": 1500, "deadline-ms": 9000, "importance": 1, "late-value": 0.25},
                             {"name": "deadline-sign", "aim-ms": 800, "deadline-ms": 6000, "importance": 6, "late-value": 0.1}],
                   "ceilings": {"cancelling": true, "max-attempts": 6, "dial-timeout-ms": 500, "retry-after": true,
                                "max-retry-after-ms": 2000},
                   "rules": {"cold-from": 0.28, "cold-ms": 13000, "fall-multiple": 3, "fall-ms": 1500},
                   "specifics": {"clear-wait-ms": 200, "t1-ms": 500}}}
                """.formatted(port, peers));
        restartController();
    }

    /** Starts the controller again with the same configuration. */
    void restartController() throws Exception {
        List<Long> before = servers.stream().map(server -> server.count("connected")).toList();
        List<String> lines = new CopyOnWriteArrayList<>();
        controller = rig.controller("diameter " + config, Map.of(), line -> {
            lines.add(line);
            rig.note("controller: " + line);
        });
        rig.require(20_000, "the controller did not start",
                () -> lines.stream().anyMatch(line -> line.contains(" serves on ")));
        for (int i = 0; i < servers.size(); i++) {
            Server server = servers.get(i);
            long count = before.get(i);
            rig.require(12_000, "the controller did not connect to " + server.host, () -> server.count("connected") > count);
        }
    }

    /** The server at which a session stands, or null. */
    Server serverOf(String session) {
        return servers.stream().filter(server -> server.said("stands " + session)).findFirst().orElse(null);
    }
}
