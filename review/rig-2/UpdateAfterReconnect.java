/**
 * A Diameter client's connection is reset while its session stands, and it connects again. Does it get the server's answers
 * to its further requests in that session?
 */
public final class UpdateAfterReconnect {

    public static void main(String[] args) {
        Rig.main(args, rig -> {
            DiaSite site = new DiaSite(rig, 2);
            site.startController();
            Proxy proxy = new Proxy(site.port);
            DiaClient client = new DiaClient(rig, "office.clients.example", proxy.port);
            client.connect();
            Rig.sleep(500);
            String session = "office.clients.example;4;1";
            if (!client.open(session, 1)) {
                throw new Rig.CannotRun("the session does not stand");
            }
            Rig.sleep(500);
            if (rig.trouble) {
                rig.note("the client's connection is reset; it connects again");
                proxy.resetAll();
                Rig.sleep(200);
                client.connect();
            }
            Rig.sleep(500);
            client.send(Dia.UPDATE, 1, session, 2, false);
            Rig.await(8_000, () -> !client.answersTo(Dia.UPDATE, session).isEmpty());
            DiaSite.Server server = site.serverOf(session);
            boolean isApplied = server.said("update " + session + " true");
            int result = client.answersTo(Dia.UPDATE, session).isEmpty() ? 0
                    : client.answersTo(Dia.UPDATE, session).get(0).message().result();
            rig.note("applied and answered with 2001 by the server: " + isApplied + "; the client got "
                    + (result == 0 ? "no answer" : result));
            return !isApplied || result == Dia.SUCCESS ? null
                    : "the server applied the request and answered 2001; the client got " + result;
        });
    }
}
