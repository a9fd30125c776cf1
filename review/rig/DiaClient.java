import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;

/** A Diameter client peer; one connection at a time. */
final class DiaClient {

    private final Rig rig;
    private final String host;
    private final int port;
    private Socket socket;
    private int nextHop = 1;
    /** The result of each session's initial request, and of its termination under the name followed by an exclamation mark. */
    final Map<String, Integer> results = new LinkedHashMap<>();

    DiaClient(Rig rig, String host, int port) {
        this.rig = rig;
        this.host = host;
        this.port = port;
    }

    /** Connects and exchanges capabilities. */
    void connect() throws IOException {
        connect(true);
    }

    /** Like {@link #connect()}; without reading, whatever comes is lost with the connection. */
    void connect(boolean reads) throws IOException {
        Socket opened = new Socket(Rig.loopback(), port);
        opened.setTcpNoDelay(true);
        socket = opened;
        DataInputStream in = new DataInputStream(new BufferedInputStream(opened.getInputStream()));
        send(new Dia(0x80, Dia.CAPABILITIES, 0, nextHop++, nextHop).with(Dia.ORIGIN_HOST, host)
                .with(Dia.ORIGIN_REALM, "office.example").capabilities());
        Dia answer = Dia.read(in);
        Rig.require(answer != null && answer.number(Dia.RESULT) == 2001, "capabilities were not accepted");
        rig.rec.say(host + " is connected");
        if (!reads) {
            return;
        }
        Rig.daemon(host, () -> {
            try {
                for (Dia message = Dia.read(in); message != null; message = Dia.read(in)) {
                    received(message, opened);
                }
            } catch (IOException e) {
                // as at the end of the stream
            }
        });
    }

    private void received(Dia message, Socket from) throws IOException {
        String session = message.text(Dia.SESSION);
        if (message.isRequest()) {
            rig.rec.say(host + " gets request " + message.command + " " + session);
            Dia answer = message.answer(2001, host);
            synchronized (this) {
                from.getOutputStream().write(answer.bytes());
            }
        } else if (message.command == Dia.CREDIT_CONTROL) {
            rig.rec.say(host + " gets answer of type " + message.number(Dia.TYPE) + " to " + session + ": "
                    + message.number(Dia.RESULT));
            synchronized (results) {
                results.put(session + (message.number(Dia.TYPE) == 1 ? "" : "!"), message.number(Dia.RESULT));
            }
        }
    }

    Integer result(String key) {
        synchronized (results) {
            return results.get(key);
        }
    }

    private synchronized void send(Dia message) throws IOException {
        socket.getOutputStream().write(message.bytes());
    }

    /** Sends a session's request of this type: 1 initial, 3 termination. */
    void request(String session, int type, int endToEnd, boolean isRetransmitted) throws IOException {
        rig.rec.say(host + " sends request of type " + type + " of " + session
                + (isRetransmitted ? " again, marked as retransmitted" : ""));
        send(new Dia(0xc0 | (isRetransmitted ? 0x10 : 0), Dia.CREDIT_CONTROL, Dia.APPLICATION, nextHop++, endToEnd)
                .with(Dia.SESSION, session).with(Dia.ORIGIN_HOST, host).with(Dia.ORIGIN_REALM, "office.example")
                .with(Dia.DESTINATION_REALM, "pathlane.example").with(Dia.AUTH_APPLICATION, Dia.APPLICATION)
                .with(Dia.CONTEXT, "signing@pathlane.example").with(Dia.TYPE, type).with(Dia.NUMBER, type == 1 ? 0 : 1));
    }

    void close() throws IOException {
        rig.rec.say(host + "'s connection is closed");
        socket.close();
    }
}
