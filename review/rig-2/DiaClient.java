import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A Diameter client: one connection at a time, and everything that was received on any of them. */
final class DiaClient {

    /** A message received, and when. */
    record Received(long at, Dia.Msg message) {}

    private static final String REALM = "clients.example";

    private final Rig rig;
    private final String host;
    private final int port;
    final List<Received> answers = new CopyOnWriteArrayList<>();
    final List<Received> aborts = new CopyOnWriteArrayList<>();
    private volatile Socket socket;
    private volatile boolean isOpen;
    private int nextHop = 1;

    DiaClient(Rig rig, String host, int port) {
        this.rig = rig;
        this.host = host;
        this.port = port;
    }

    boolean isOpen() {
        return isOpen;
    }

    /** Opens a connection and exchanges capabilities. */
    void connect() throws IOException, InterruptedException {
        isOpen = false;
        Socket opened = Rig.connect(port);
        socket = opened;
        Thread reader = new Thread(() -> read(opened));
        reader.setDaemon(true);
        reader.start();
        List<Dia.Avp> avps = new ArrayList<>(List.of(Dia.Avp.of(264, host), Dia.Avp.of(296, REALM)));
        avps.addAll(Dia.capabilities(1));
        Dia.write(opened, new Dia.Msg(0x80, Dia.CER, 0, nextHop++, nextHop, avps));
        rig.require(3000, "the client's capabilities exchange was not answered", () -> isOpen);
        rig.note("client " + host + " is connected");
    }

    private void read(Socket from) {
        try {
            DataInputStream in = new DataInputStream(from.getInputStream());
            while (true) {
                Dia.Msg message = Dia.read(in);
                long now = System.currentTimeMillis();
                if (message.command() == Dia.CER) {
                    isOpen = message.result() == Dia.SUCCESS;
                } else if (!message.isRequest()) {
                    rig.note("client got the answer " + message.result() + " to type " + message.type() + " of "
                            + message.session());
                    answers.add(new Received(now, message));
                } else {
                    if (message.command() == Dia.ASR) {
                        rig.note("client got an abort of " + message.session());
                        aborts.add(new Received(now, message));
                    }
                    Dia.write(from, message.answer(Dia.SUCCESS, host, REALM, List.of()));
                }
            }
        } catch (IOException e) {
            if (from == socket) {
                isOpen = false;
            }
        }
    }

    /** Resets the connection. */
    void reset() {
        isOpen = false;
        Rig.reset(socket);
    }

    /** Sends a credit-control request; the same end-to-end id marks a repeated one. */
    void send(int type, int number, String session, int endToEnd, boolean repeated) throws IOException {
        List<Dia.Avp> avps = List.of(Dia.Avp.of(263, session), Dia.Avp.of(264, host), Dia.Avp.of(296, REALM),
                Dia.Avp.of(283, "pathlane.example"), Dia.Avp.of(258, 4), Dia.Avp.of(461, "signing@pathlane.example"),
                Dia.Avp.of(416, type), Dia.Avp.of(415, number));
        rig.note("client sends type " + type + " of " + session + (repeated ? " again, with the T flag" : ""));
        Dia.write(socket, new Dia.Msg(repeated ? 0xd0 : 0xc0, Dia.CCR, 4, nextHop++, endToEnd, avps));
    }

    /** The answers received to requests of one type of a session. */
    List<Received> answersTo(int type, String session) {
        return answers.stream().filter(got -> got.message.session().equals(session) && got.message.type() == type).toList();
    }

    /** Opens a session and returns whether it stands. */
    boolean open(String session, int endToEnd) throws IOException, InterruptedException {
        send(Dia.INITIAL, 0, session, endToEnd, false);
        Rig.await(3500, () -> !answersTo(Dia.INITIAL, session).isEmpty());
        List<Received> got = answersTo(Dia.INITIAL, session);
        return !got.isEmpty() && got.get(0).message.result() == Dia.SUCCESS;
    }
}
