/**
 * A Diameter controller is killed and started again under its address. Sessions stand at the servers meanwhile; client and
 * servers connect again. A server then ends one session, and the client another one: does the other side hear of it?
 */
public final class RestartedController {

    private static final long LIMIT_MS = 1_050;

    public static void main(String[] args) {
        Rig.main(args, rig -> {
            DiaSite site = new DiaSite(rig, 2);
            site.startController();
            DiaClient client = new DiaClient(rig, "office.clients.example", site.port);
            client.connect();
            Rig.sleep(500);
            String endedByServer = "office.clients.example;3;1";
            String endedByClient = "office.clients.example;3;2";
            if (!client.open(endedByServer, 1) || !client.open(endedByClient, 2)) {
                throw new Rig.CannotRun("the sessions do not stand");
            }
            Rig.sleep(500);
            if (rig.trouble) {
                rig.note("the controller is killed and started again");
                rig.signal(site.controller, "KILL");
                site.controller.waitFor();
                site.restartController();
                client.connect();
            }
            Rig.sleep(1_000);
            DiaSite.Server server = site.serverOf(endedByServer);
            long at = System.currentTimeMillis();
            server.tell("abort " + endedByServer);
            Rig.sleep(LIMIT_MS + 1_000);
            boolean isClientTold = client.aborts.stream()
                    .anyMatch(got -> got.message().session().equals(endedByServer) && got.at() - at <= LIMIT_MS);
            client.send(Dia.TERMINATION, 1, endedByClient, 3, false);
            Rig.await(10_000, () -> site.serverOf(endedByClient).said("terminated " + endedByClient));
            boolean isServerTold = site.serverOf(endedByClient).said("terminated " + endedByClient);
            rig.note("client told of the server's release within " + LIMIT_MS + " ms: " + isClientTold);
            rig.note("server told of the client's release: " + isServerTold);
            return isClientTold ? null : "the server's release of a session was not passed to its client"
                    + (isServerTold ? "" : ", nor the client's release of another one to its server");
        });
    }
}
