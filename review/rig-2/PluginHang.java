import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A session server hangs, and comes back. Does every call that an application made through the plug-in get its answer? */
public final class PluginHang {

    private static final long PATIENCE_MS = 3_000;

    private static final int SERVERS = 5;
    private static final int APPLICATIONS = 8;
    private static final int CALLS_PER_BURST = 15;
    private static final int BURST_GAP_MS = 1_000;
    private static final long SILENT_MS = 6_000;
    private static final int TIMES = 8;

    public static void main(String[] args) {
        Rig.main(args, rig -> {
            List<Process> servers = new ArrayList<>();
            List<Bus.Server> listed = new ArrayList<>();
            String jar = rig.root.resolve("example/grpc/target/example-grpc.jar").toString();
            for (int i = 0; i < SERVERS; i++) {
                int port = Rig.freePort();
                boolean[] listens = new boolean[1];
                servers.add(rig.standIn("s-" + (i + 1), line -> listens[0] |= line.equals("listens"), jar, "GrpcServer",
                        Integer.toString(port), "40"));
                rig.require(10_000, "a server did not start", () -> listens[0]);
                listed.add(new Bus.Server(i + 1, port, 0, i, 0));
            }
            Bus bus = new Bus(listed);
            Path settings = rig.folder.resolve("settings.json");
            Files.writeString(settings, """
                    {"balancers": 1, "tick-ms": 5,
                     "lanes": [{"name": "status-check", "aim-ms": 1500, "deadline-ms": 9000, "importance": 1, "late-value": 0.25},
                               {"name": "deadline-sign", "aim-ms": 800, "deadline-ms": 6000, "importance": 6, "late-value": 0.1}],
                     "ceilings": {"cancelling": true, "max-attempts": 6, "dial-timeout-ms": 500, "retry-after": true,
                                  "max-retry-after-ms": 2000},
                     "rules": {"cold-from": 0.28, "cold-ms": 13000, "fall-multiple": 3, "fall-ms": 1500},
                     "specifics": {"clear-wait-ms": 200, "t1-ms": 500},
                     "plug-in": {"default-class": "status-check"}}
                    """);
            Map<String, Long> sent = new ConcurrentHashMap<>();
            Map<String, String> ended = new ConcurrentHashMap<>();
                        List<Process> processes = new ArrayList<>();
            for (int a = 1; a <= APPLICATIONS; a++) {
                String name = a + "/";
                processes.add(rig.standIn("app", line -> {
                    String[] parts = line.split(" ");
                    if (parts.length > 2 && parts[1].equals("sent")) {
                        sent.put(name + parts[2], Long.parseLong(parts[0]));
                    } else if (parts.length > 2 && parts[1].equals("ended")) {
                        ended.put(name + parts[2], parts[0] + " " + parts[3]);
                    } else {
                        rig.detail("app " + name + line);
                    }
                }, jar, "GrpcApp", "pathlane-bus:///127.0.0.1:" + bus.port, settings.toString(),
                        Integer.toString(CALLS_PER_BURST), Integer.toString(BURST_GAP_MS),
                        Long.toString(PATIENCE_MS)));
            }
            Rig.sleep(4_000);
            for (int i = 0; i < TIMES; i++) {
                Process silent = servers.get(i % SERVERS);
                if (rig.trouble) {
                    rig.note("s-" + (i % SERVERS + 1) + " falls silent for " + SILENT_MS + " ms");
                    rig.signal(silent, "STOP");
                }
                Rig.sleep(SILENT_MS);
                if (rig.trouble) {
                    rig.signal(silent, "CONT");
                }
                Rig.sleep(4_000);
            }
            for (Process process : processes) {
                process.getOutputStream().write('\n');
                process.getOutputStream().flush();
            }
            Rig.sleep(PATIENCE_MS + 6_000);
            Map<String, Integer> by = new HashMap<>();
            ended.values().forEach(value -> by.merge(value.split(" ")[1], 1, Integer::sum));
            List<String> never = sent.keySet().stream().filter(id -> !ended.containsKey(id)).sorted().toList();
            sent.forEach((id, at) -> rig.detail("call " + id + " sent " + rig.since(at) + " ended " + (ended.containsKey(id)
                    ? rig.since(Long.parseLong(ended.get(id).split(" ")[0])) + " " + ended.get(id).split(" ")[1] : "never")));
            rig.note("sent " + sent.size() + " ended " + by + " never " + never.size());
            never.stream().limit(20).forEach(id -> rig.note("never ended: " + id + " sent at " + rig.since(sent.get(id))));
            return never.isEmpty() ? null : never.size() + " calls got no answer at all";
        });
    }
}
