import java.util.ArrayList;
import java.util.List;

/** A Diameter server's process is killed: are the clients of the sessions that stood there told within 8 s? */
public final class ServerKilled {

    /** 8 s of the protocol page, and the 50 ms by which every limit is longer on sockets. */
    private static final long LIMIT_MS = 8_050;
    private static final int SESSIONS = 8;

    public static void main(String[] args) {
        Rig.main(args, rig -> {
            DiaSite site = new DiaSite(rig, 2);
            site.startController();
            DiaClient client = new DiaClient(rig, "office.clients.example", site.port);
            client.connect();
            Rig.sleep(500);
            List<String> sessions = new ArrayList<>();
            for (int i = 1; i <= SESSIONS; i++) {
                String session = "office.clients.example;1;" + i;
                if (client.open(session, i)) {
                    sessions.add(session);
                }
                Rig.sleep(50);
            }
            if (sessions.size() < SESSIONS) {
                throw new Rig.CannotRun("only " + sessions.size() + " sessions stand");
            }
            DiaSite.Server lost = site.serverOf(sessions.get(0));
            List<String> concerned = sessions.stream().filter(session -> site.serverOf(session) == lost).toList();
            Rig.sleep(500);
            long at = System.currentTimeMillis();
            if (rig.trouble) {
                rig.note("kills " + lost.host + ", at which " + concerned.size() + " sessions stand");
                rig.signal(lost.process, "KILL");
            } else {
                rig.note(lost.host + " ends the " + concerned.size() + " sessions that stand there");
                for (String session : concerned) {
                    lost.tell("abort " + session);
                }
            }
            Rig.sleep(LIMIT_MS + 4_000);
            List<String> late = concerned.stream().filter(session -> client.aborts.stream()
                    .noneMatch(got -> got.message().session().equals(session) && got.at() - at <= LIMIT_MS)).toList();
            for (String session : concerned) {
                rig.note(session + " ended at 0, client told at " + client.aborts.stream()
                        .filter(got -> got.message().session().equals(session)).map(got -> Long.toString(got.at() - at))
                        .findFirst().orElse("no time"));
            }
            return late.isEmpty() ? null : late.size() + " of " + concerned.size()
                    + " sessions were over and their client was not told within " + LIMIT_MS + " ms";
        });
    }
}
