/**
 * The connection to a Diameter server is reset under a termination request that the server has not read. The client was told
 * that the session is terminated: does the server hear of it?
 */
public final class TerminationLost {

    /** The server's connection is back after at most 8 s (6 s and 2 s of jitter); 8 s more is the longest limit of the page. */
    private static final long WAIT_MS = 16_050;

    public static void main(String[] args) {
        Rig.main(args, rig -> {
            DiaSite site = new DiaSite(rig, 1);
            Proxy proxy = new Proxy(site.servers.get(0).port);
            site.startController(proxy.port);
            DiaClient client = new DiaClient(rig, "office.clients.example", site.port);
            client.connect();
            Rig.sleep(500);
            String session = "office.clients.example;2;1";
            if (!client.open(session, 1)) {
                throw new Rig.CannotRun("the session does not stand");
            }
            DiaSite.Server server = site.servers.get(0);
            Rig.sleep(500);
            long connections = server.count("connected");
            proxy.dropsForward = rig.trouble;
            client.send(Dia.TERMINATION, 1, session, 2, false);
            if (rig.trouble) {
                rig.require(2000, "the termination was not forwarded", () -> proxy.droppedForward > 0);
                rig.note("the server's connection is reset, with the request of " + proxy.droppedForward + " bytes unread");
                proxy.resetAll();
                proxy.dropsForward = false;
            }
            Rig.await(2000, () -> !client.answersTo(Dia.TERMINATION, session).isEmpty());
            if (client.answersTo(Dia.TERMINATION, session).stream()
                    .noneMatch(got -> got.message().result() == Dia.SUCCESS)) {
                return null;   // the client was not told that it is done, and can ask again
            }
            Rig.await(WAIT_MS, () -> server.said("terminated " + session));
            rig.note("connections of the controller to the server since: " + (server.count("connected") - connections));
            if (rig.trouble && server.count("connected") == connections) {
                throw new Rig.CannotRun("the controller did not connect to the server again");
            }
            return server.said("terminated " + session) ? null
                    : "the client was told that its session is terminated; the server never heard of it, and it stands";
        });
    }
}
