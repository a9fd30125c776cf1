import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A sound Diameter server peer: answers watchdogs at once and each initial request after a fixed time. */
final class DiaServer {

    /** One initial request that has arrived, from its arrival to its answer or the close of its connection. */
    static final class Attempt {
        final String server;
        final String session;
        final boolean isRetransmitted;
        final double from;
        volatile double until = Double.NaN;
        volatile boolean isGivenUp;

        Attempt(String server, String session, boolean isRetransmitted, double from) {
            this.server = server;
            this.session = session;
            this.isRetransmitted = isRetransmitted;
            this.from = from;
        }
    }

    private final Rig rig;
    final String host;
    final ServerSocket listening;
    private final long answerMillis;
    /** All servers of a case share the list. */
    private final List<Attempt> attempts;
    /** The sessions that stand here, and since when. */
    private final Map<String, Double> sessions = new LinkedHashMap<>();
    private final List<Socket> sockets = new ArrayList<>();
    int terminations;
    private volatile boolean stalls;

    DiaServer(Rig rig, String host, long answerMillis, List<Attempt> attempts) throws IOException {
        this.rig = rig;
        this.host = host;
        this.answerMillis = answerMillis;
        this.attempts = attempts;
        this.listening = new ServerSocket(0, 64, Rig.loopback());
        Rig.daemon(host, () -> {
            try {
                while (true) {
                    Socket socket = listening.accept();
                    socket.setTcpNoDelay(true);
                    synchronized (sockets) {
                        sockets.add(socket);
                    }
                    Rig.daemon(host + " link", () -> read(socket));
                }
            } catch (IOException e) {
                // the case is over
            }
        });
    }

    /** Reads nothing from now on; its connections stay open. */
    void stall() {
        rig.rec.say(host + " stalls");
        stalls = true;
    }

    /** The open connections are reset; new ones are served. */
    void resetConnections() throws IOException {
        rig.rec.say("the connections of " + host + " are reset");
        synchronized (sockets) {
            for (Socket socket : sockets) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            sockets.clear();
        }
        stalls = false;
    }

    private void read(Socket socket) {
        List<Attempt> own = new ArrayList<>();
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()))) {
            OutputStream out = socket.getOutputStream();
            for (Dia message = Dia.read(in); message != null; message = Dia.read(in)) {
                while (stalls) {
                    Rig.sleep(5);
                }
                if (socket.isClosed()) {
                    break;
                }
                if (message.isRequest()) {
                    received(message, out, own);
                }
            }
        } catch (IOException e) {
            // as at the end of the stream
        }
        synchronized (attempts) {
            own.stream().filter(attempt -> Double.isNaN(attempt.until)).forEach(attempt -> {
                attempt.until = rig.rec.now();
                attempt.isGivenUp = true;
                rig.rec.line(host + " " + attempt.session + " is given up, its connection closed");
            });
        }
    }

    private void received(Dia request, OutputStream out, List<Attempt> own) {
        switch (request.command) {
            case Dia.CAPABILITIES -> send(out, request.answer(2001, host).capabilities());
            case Dia.CREDIT_CONTROL -> {
                String session = request.text(Dia.SESSION);
                if (request.number(Dia.TYPE) == 1) {
                    Attempt attempt = new Attempt(host, session, request.isRetransmitted(), rig.rec.now());
                    rig.rec.say(host + " gets initial request of " + session
                            + (attempt.isRetransmitted ? " (retransmitted)" : ""));
                    synchronized (attempts) {
                        attempts.add(attempt);
                        own.add(attempt);
                    }
                    rig.after(answerMillis, () -> answer(attempt, request, out));
                } else {
                    synchronized (attempts) {
                        terminations++;
                        boolean isKnown = sessions.remove(session) != null;
                        rig.rec.say(host + " gets termination of " + session + (isKnown ? "" : ", which does not stand here"));
                        send(out, request.answer(isKnown ? 2001 : 5002, host));
                    }
                }
            }
            default -> send(out, request.answer(2001, host));
        }
    }

    private void answer(Attempt attempt, Dia request, OutputStream out) {
        synchronized (attempts) {
            if (attempt.isGivenUp) {
                return;
            }
            attempt.until = rig.rec.now();
            sessions.put(attempt.session, attempt.until);
            rig.rec.say(host + " answers initial request of " + attempt.session);
            send(out, request.answer(2001, host));
        }
    }

    private void send(OutputStream out, Dia message) {
        try {
            synchronized (out) {
                out.write(message.bytes());
            }
        } catch (IOException e) {
            rig.rec.line(host + " can not write");
        }
    }

    /** The sessions that stand here now. */
    List<String> standing() {
        synchronized (attempts) {
            return List.copyOf(sessions.keySet());
        }
    }
}
