import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** A small deployment of the platform: session servers, the event bus and one call controller. */
final class PlatSite {

    /** A line that a server printed, with its time. */
    record Said(long at, String event, String id) {}

    static final class Server {
        final int id;
        final int port = Rig.freePort();
        final List<Said> lines = new CopyOnWriteArrayList<>();
        Process process;

        Server(int id) {
            this.id = id;
        }

        long count(String event) {
            return lines.stream().filter(said -> said.event.equals(event)).count();
        }
    }

    final Rig rig;
    final int port = Rig.freePort();
    final List<Server> servers = new ArrayList<>();
    final Bus bus;
    Process controller;

    PlatSite(Rig rig, int serverCount, long workMs, long holdMs) throws Exception {
        this.rig = rig;
        List<Bus.Server> listed = new ArrayList<>();
        for (int i = 0; i < serverCount; i++) {
            Server server = new Server(i + 1);
            servers.add(server);
            server.process = rig.standIn("s-" + server.id, line -> {
                String[] parts = line.split(" ");
                server.lines.add(new Said(Long.parseLong(parts[0]), parts[1], parts.length > 2 ? parts[2] : ""));
            }, "PlatServer", Integer.toString(server.port), Long.toString(workMs), Long.toString(holdMs));
            listed.add(new Bus.Server(server.id, server.port, 0, i, 0));
            rig.require(10_000, "a server did not start", () -> server.count("listens") > 0);
        }
        bus = new Bus(listed);
    }

    /** Writes to the record what the servers were sent and did. */
    void dump() {
        for (Server server : servers) {
            server.lines.forEach(said -> rig.detail("s-" + server.id + " " + rig.since(said.at) + " " + said.event + " "
                    + said.id));
        }
    }

    void startController() throws IOException, InterruptedException {
        startController(servers.stream().map(server -> server.port).toList());
    }

    /** Starts the controller, which reaches its servers at these ports by the list in its configuration. */
    void startController(List<Integer> ports) throws IOException, InterruptedException {
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < servers.size(); i++) {
            hosts.append(i == 0 ? "" : ",").append("""
                    {"host": "s-%08x", "dial": "127.0.0.1:%d", "site": "dakar", "class": "standard", "block": %d,
                     "health": "SERVING", "share": 1, "born_ms": 0}""".formatted(servers.get(i).id, ports.get(i), i));
        }
        Path config = rig.folder.resolve("config.json");
        Files.writeString(config, """
                {"name": "n1", "listen": "127.0.0.1:%d", "seed": "8c1f30d27a5be964",
                 "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "bus": "127.0.0.1:%d",
                 "known": {"offset": 1, "batch": [{"offset": 1, "topology": {"seq": 1, "whole": true, "hosts": [%s]}}]},
                 "settings": {"balancers": 1, "tick-ms": 5, "zones": ["dakar", "thies", "saint-louis"],
                   "host-types": ["standard"],
                   "lanes": [{"name": "status-check", "aim-ms": 1500, "deadline-ms": 9000, "importance": 1, "late-value": 0.25,
                              "effect": "pure", "group": "all", "stream": true},
                             {"name": "deadline-sign", "aim-ms": 800, "deadline-ms": 6000, "importance": 6, "late-value": 0.1,
                              "effect": "pure", "group": "all", "stream": true}],
                   "ceilings": {"cancelling": true, "max-attempts": 6, "dial-timeout-ms": 500, "idle-close-ms": 600000,
                                "retry-after": true, "max-retry-after-ms": 2000, "peers": true, "probes": false,
                                "second-copies": false},
                   "telemetry": {"fields": ["free", "size"], "how": "on_probe"},
                   "rules": {"cold-from": 0.28, "cold-ms": 13000, "fall-multiple": 3, "fall-ms": 1500,
                             "drain-grace-ms": 1000, "grace-to-answer-ms": 20},
                   "specifics": {"clear-wait-ms": 200, "t1-ms": 500, "topology": "pools"}}}
                """.formatted(port, bus.port, hosts));
        List<String> lines = new CopyOnWriteArrayList<>();
        controller = rig.controller(null, Map.of("RELAY_CONFIG", config.toString(), "RELAY_NAME", "n1", "RELAY_LISTEN",
                "127.0.0.1:" + port), line -> {
                    lines.add(line);
                    rig.note("controller: " + line);
                });
        rig.require(20_000, "the controller did not start",
                () -> lines.stream().anyMatch(line -> line.contains(" serves on ")));
    }
}
