/**
 * The answer to an initial request is lost and the client's connection is reset. The client connects again and repeats the
 * request with the T flag, as RFC 6733 asks (5.5.4). Is what it is told true?
 */
public final class AnswerLost {

    public static void main(String[] args) {
        Rig.main(args, rig -> {
            DiaSite site = new DiaSite(rig, 2);
            site.startController();
            Proxy proxy = new Proxy(site.port);
            DiaClient client = new DiaClient(rig, "office.clients.example", proxy.port);
            client.connect();
            Rig.sleep(500);
            String session = "office.clients.example;5;1";
            proxy.dropsBack = rig.trouble;
            client.send(Dia.INITIAL, 0, session, 1, false);
            if (rig.trouble) {
                rig.require(3000, "the request was not answered", () -> proxy.droppedBack > 0);
                rig.note("the answer is lost and the client's connection is reset; the client connects again");
                proxy.resetAll();
                proxy.dropsBack = false;
                Rig.sleep(200);
                client.connect();
                client.send(Dia.INITIAL, 0, session, 1, true);
            }
            Rig.await(5_000, () -> !client.answersTo(Dia.INITIAL, session).isEmpty());
            int result = client.answersTo(Dia.INITIAL, session).isEmpty() ? 0
                    : client.answersTo(Dia.INITIAL, session).get(0).message().result();
            Rig.sleep(9_000);
            DiaSite.Server server = site.serverOf(session);
            boolean stands = server != null && !server.said("terminated " + session);
            rig.note("the client got " + (result == 0 ? "no answer" : result) + "; the session stands: " + stands);
            return result == Dia.SUCCESS || !stands ? null
                    : "the client was told that its call failed (" + result + "), and it stands at " + server.host;
        });
    }
}
