import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Explores: one kind of trouble under load, and the rules checked on all that peers saw. Usage: Storm ROOT FOLDER KIND. */
public final class Storm {

    private record Step(long at, int server, String event) {}

    public static void main(String[] args) {
        String kind = args[2];
        double rate = args.length > 3 ? Double.parseDouble(args[3]) : 40;
        Rig.main(args, rig -> {
            PlatSite site = new PlatSite(rig, 3, 25, 5_000);
            List<Proxy> proxies = new ArrayList<>();
            for (PlatSite.Server server : site.servers) {
                proxies.add(new Proxy(server.port));
            }
            site.startController(proxies.stream().map(proxy -> proxy.port).toList());
            Proxy front = new Proxy(site.port);
            Rig.sleep(500);
            List<PlatClient> clients = new ArrayList<>();
            List<Thread> threads = new ArrayList<>();
            for (int i = 1; i <= 3; i++) {
                PlatClient client = new PlatClient(rig, "office-" + i, front.port);
                clients.add(client);
                threads.add(new Thread(() -> {
                    try {
                        client.offer(rate / 3, 30_000);
                    } catch (InterruptedException e) {
                        rig.note("interrupted");
                    }
                }));
            }
            threads.forEach(Thread::start);
            Rig.sleep(6_000);
            long troubleAt = System.currentTimeMillis();
            long killedAt = 0;
            rig.note("trouble " + kind);
            switch (kind) {
                case "killserver" -> {
                    killedAt = System.currentTimeMillis();
                    proxies.get(0).refuse();
                    rig.signal(site.servers.get(0).process, "KILL");
                }
                case "stopserver" -> {
                    rig.signal(site.servers.get(0).process, "STOP");
                    Rig.sleep(10_000);
                    rig.signal(site.servers.get(0).process, "CONT");
                }
                case "stopshort" -> {
                    for (int i = 0; i < 6; i++) {
                        rig.signal(site.servers.get(0).process, "STOP");
                        Rig.sleep(1_500);
                        rig.signal(site.servers.get(0).process, "CONT");
                        Rig.sleep(1_000);
                    }
                }
                case "resets" -> {
                    for (int i = 0; i < 20; i++) {
                        proxies.get(i % 3).resetAll();
                        Rig.sleep(600);
                    }
                }
                case "restart" -> {
                    rig.signal(site.controller, "KILL");
                    site.controller.waitFor();
                    site.startController(proxies.stream().map(proxy -> proxy.port).toList());
                }
                case "lostanswers" -> {
                    proxies.get(0).dropsBack = true;
                    Rig.sleep(6_000);
                    proxies.get(0).resetAll();
                    proxies.get(0).dropsBack = false;
                }
                case "partition" -> {
                    proxies.get(0).dropsBack = true;
                    proxies.get(0).dropsForward = true;
                    proxies.get(0).holds = true;
                    Rig.sleep(6_000);
                    proxies.get(0).resetAll();
                    proxies.get(0).dropsBack = false;
                    proxies.get(0).dropsForward = false;
                    proxies.get(0).holds = false;
                }
                case "clients" -> {
                    for (int i = 0; i < 20; i++) {
                        front.resetAll();
                        Rig.sleep(700);
                    }
                }
                case "pausecontroller" -> {
                    for (int i = 0; i < 5; i++) {
                        rig.signal(site.controller, "STOP");
                        Rig.sleep(1_500);
                        rig.signal(site.controller, "CONT");
                        Rig.sleep(2_000);
                    }
                }
                default -> {}
            }
            for (Thread thread : threads) {
                thread.join();
            }
            Rig.sleep(16_000);
            clients.forEach(PlatClient::over);
            clients.forEach(PlatClient::dump);
            site.dump();
            List<String> faults = new ArrayList<>();
            Map<String, List<Step>> steps = new HashMap<>();
            for (PlatSite.Server server : site.servers) {
                server.lines.forEach(said -> steps.computeIfAbsent(said.id(), any -> new ArrayList<>())
                        .add(new Step(said.at(), server.id, said.event())));
            }
            steps.values().forEach(list -> list.sort(Comparator.comparingLong(Step::at)));
            steps.remove("");
            steps.forEach((id, list) -> attempts(id, list, faults));
            long end = System.currentTimeMillis();
            int lost = 0;
            int late = 0;
            for (PlatClient client : clients) {
                for (PlatClient.Call call : client.calls) {
                    lost += call.lostAt > 0 ? 1 : 0;
                    late += call.gaveUp ? 1 : 0;
                    List<Step> list = steps.getOrDefault(call.name(), List.of());
                    for (Step step : list) {
                        if (step.event.equals("over") && call.stood && list.stream().noneMatch(other -> other.event.equals("stands")
                                && other.server != step.server)) {
                            if (call.releasedAt == 0 || call.releasedAt - step.at > (kind.equals("partition") ? 8_050 : 1_050)) {
                                faults.add("release of " + call.name() + " at " + rig.since(step.at) + " told at "
                                        + rig.since(call.releasedAt));
                            }
                        }
                    }
                    if (call.stood && call.releasedAt == 0 && end - call.answeredAt > 14_000) {
                        faults.add("never released " + call.name() + " answered " + rig.since(call.answeredAt) + " " + list);
                    }
                }
            }
            rig.note("calls " + clients.stream().mapToInt(client -> client.calls.size()).sum() + " stood "
                    + clients.stream().flatMap(client -> client.calls.stream()).filter(call -> call.stood).count() + " lost "
                    + lost + " given up " + late);
            faults.forEach(rig::detail);
            faults.stream().limit(12).forEach(rig::note);
            return faults.isEmpty() ? null : faults.size() + " faults";
        });
    }

    private static void attempts(String id, List<Step> list, List<String> faults) {
        Step open = null;
        Step ended = null;
        for (Step step : list) {
            switch (step.event) {
                case "setup" -> {
                    if (open != null) {
                        faults.add("two out " + id + " " + list);
                    }
                    if (ended != null && (ended.event.equals("givenup") || ended.event.equals("dropped"))
                            && step.at - ended.at < 198) {
                        faults.add("early by " + (step.at - ended.at) + " " + id + " " + list);
                    }
                    if (ended != null && ended.event.equals("stands")) {
                        faults.add("sent after it stood " + id + " " + list);
                    }
                    open = step;
                }
                case "stands", "refused", "givenup", "dropped" -> {
                    if (open != null && open.server == step.server) {
                        open = null;
                        ended = step;
                    }
                }
                default -> {}
            }
        }
    }
}
