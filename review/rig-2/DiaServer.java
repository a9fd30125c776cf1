import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A Diameter credit-control server, as a process of its own. Usage: DiaServer PORT HOST. It prints a line for each event, and
 * takes lines on its input: {@code abort SESSION} ends a session that stands. A session is tied to no connection: it stands
 * until it is terminated or aborted, or until the process ends.
 */
public final class DiaServer {

    private static final String REALM = "pathlane.example";

    private final String host;
    private final int originState = (int) (System.currentTimeMillis() / 1000);
    private final Map<String, Boolean> standing = new ConcurrentHashMap<>();
    private final Map<String, Dia.Msg> initial = new ConcurrentHashMap<>();
    /** Sessions that were aborted and whose abort no one has acknowledged. */
    private final Map<String, Boolean> aborting = new ConcurrentHashMap<>();
    private final List<Socket> open = new ArrayList<>();
    private int nextHop = 1;

    private DiaServer(String host) {
        this.host = host;
    }

    public static void main(String[] args) throws IOException {
        new DiaServer(args[1]).serve(Integer.parseInt(args[0]));
    }

    private static synchronized void say(String line) {
        System.out.println(line);
        System.out.flush();
    }

    private void serve(int port) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(Rig.LOOPBACK, port), 50);
        Thread acceptor = new Thread(() -> {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    new Thread(() -> connection(socket)).start();
                }
            } catch (IOException e) {
                say("accept failed: " + e);
            }
        });
        acceptor.start();
        say("listens");
        BufferedReader commands = new BufferedReader(new InputStreamReader(System.in));
        for (String line = commands.readLine(); line != null; line = commands.readLine()) {
            if (line.startsWith("abort ")) {
                abort(line.substring(6));
            }
        }
        System.exit(0);
    }

    private void connection(Socket socket) {
        try {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
                handle(socket, Dia.read(in));
            }
        } catch (IOException e) {
            say("connection-ended");
        } finally {
            synchronized (open) {
                open.remove(socket);
            }
            Rig.reset(socket);
        }
    }

    private void handle(Socket socket, Dia.Msg message) throws IOException {
        if (!message.isRequest()) {
            if (message.command() == Dia.ASR) {
                say("abort-answered " + message.session() + " " + message.result());
            }
            return;
        }
        switch (message.command()) {
            case Dia.CER -> {
                Dia.write(socket, message.answer(Dia.SUCCESS, host, REALM, Dia.capabilities(originState)));
                synchronized (open) {
                    open.add(socket);
                }
                say("connected");
                for (String session : aborting.keySet()) {
                    sendAbort(socket, session);   // a release is also sent on the next connection that opens
                }
            }
            case Dia.DWR -> Dia.write(socket, message.answer(Dia.SUCCESS, host, REALM, List.of()));
            case Dia.DPR -> Dia.write(socket, message.answer(Dia.SUCCESS, host, REALM, List.of()));
            case Dia.CCR -> creditControl(socket, message);
            default -> Dia.write(socket, message.answer(3001, host, REALM, List.of()));
        }
    }

    private void creditControl(Socket socket, Dia.Msg request) throws IOException {
        String session = request.session();
        switch (request.type()) {
            case Dia.INITIAL -> {
                say("initial " + session + " flags " + request.flags());
                standing.put(session, true);
                initial.put(session, request);
                Dia.write(socket, request.answer(Dia.SUCCESS, host, REALM, List.of()));
                say("stands " + session);
            }
            case Dia.UPDATE -> {
                boolean known = standing.containsKey(session);
                say("update " + session + " " + known);
                Dia.write(socket, request.answer(known ? Dia.SUCCESS : 5002, host, REALM, List.of()));
            }
            default -> {
                boolean known = standing.remove(session) != null;
                say("terminated " + session + " " + known);
                Dia.write(socket, request.answer(known ? Dia.SUCCESS : 5002, host, REALM, List.of()));
            }
        }
    }

    private void abort(String session) throws IOException {
        standing.remove(session);
        aborting.put(session, true);
        Socket socket;
        synchronized (open) {
            socket = open.isEmpty() ? null : open.get(open.size() - 1);
        }
        say("aborts " + session);
        if (socket != null) {
            sendAbort(socket, session);
        }
    }

    private void sendAbort(Socket socket, String session) throws IOException {
        Dia.Msg first = initial.get(session);
        List<Dia.Avp> avps = List.of(Dia.Avp.of(263, session), Dia.Avp.of(264, host), Dia.Avp.of(296, REALM),
                Dia.Avp.of(283, first.find(296).text()), Dia.Avp.of(293, first.find(264).text()), Dia.Avp.of(258, 4));
        Dia.write(socket, new Dia.Msg(0xc0, Dia.ASR, 4, nextHop++, nextHop, avps));
    }
}
