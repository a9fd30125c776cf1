import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * A sound session server: it answers each set-up after a fixed time, holds the call until a release, and reports the state
 * of its group on each connection. A call that stands is tied to no connection; set-ups on a connection that closes are
 * given up.
 */
final class SessionServer {

    /** A set-up or a standing call. */
    static final class Held {
        final long call;
        final Link link;
        boolean stands;

        Held(long call, Link link) {
            this.call = call;
            this.link = link;
        }
    }

    /** One connection from a call controller. */
    final class Link {
        final Socket socket;
        final OutputStream out;
        volatile boolean isOpen = true;

        Link(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
            socket.setTcpNoDelay(true);
        }

        synchronized void send(Msg message) {
            try {
                out.write(message.bytes());
                out.flush();
            } catch (IOException e) {
                isOpen = false;
            }
        }
    }

    private final Rig rig;
    final String name;
    final long id;
    final int port;
    private final long answerMillis;
    private final long reportMillis;
    private final Function<Long, byte[]> description;
    private final Map<Long, Held> calls = new LinkedHashMap<>();
    private final List<Link> links = new ArrayList<>();
    private ServerSocket listening;
    private int generation;
    /** How many of the next answers are lost on their way, as their connections are reset. */
    int answersToLose;
    /** The machine has vanished: nothing is read or sent any more, and its connections stay open. */
    private volatile boolean isSilent;
    int setups;
    int releases;

    SessionServer(Rig rig, long id, int port, long answerMillis, long reportMillis, Function<Long, byte[]> description) {
        this.rig = rig;
        this.id = id;
        this.name = String.format("s-%08x", id);
        this.port = port;
        this.answerMillis = answerMillis;
        this.reportMillis = reportMillis;
        this.description = description;
    }

    synchronized void start() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(Rig.loopback(), port), 512);
        listening = socket;
        generation++;
        Rig.daemon(name, () -> accept(socket));
    }

    /** The process dies: its connections are reset and its calls are cut. */
    synchronized void die() throws IOException {
        generation++;
        listening.close();
        for (Link link : links) {
            link.isOpen = false;
            link.socket.setSoLinger(true, 0);
            link.socket.close();
        }
        links.clear();
        rig.rec.say(name + " dies with " + calls.size() + " calls");
        calls.clear();
    }

    /** The machine vanishes without a sign. */
    synchronized void vanish() {
        isSilent = true;
        rig.rec.say(name + " vanishes with " + standing().size() + " calls");
    }

    private void accept(ServerSocket socket) {
        try {
            while (true) {
                Link link = new Link(socket.accept());
                int born;
                synchronized (this) {
                    links.add(link);
                    born = generation;
                }
                Rig.daemon(name + " link", () -> read(link, born));
                report(link);
            }
        } catch (IOException e) {
            // the process died
        }
    }

    /** What PROTOCOL calls the state of a group: free lines and all lines, of which there are plenty. */
    private void report(Link link) {
        if (link.isOpen && !isSilent) {
            link.send(new Msg(Msg.GROUP_STATE, 0).with(156, "free:4000;size:4000"));
            rig.after(reportMillis, () -> report(link));
        }
    }

    private void read(Link link, int born) {
        try (DataInputStream in = new DataInputStream(new java.io.BufferedInputStream(link.socket.getInputStream()))) {
            for (Msg message = Msg.read(in); message != null; message = Msg.read(in)) {
                synchronized (this) {
                    if (born == generation && !isSilent) {
                        received(link, message, born);
                    }
                }
            }
        } catch (IOException e) {
            // as at the end of the stream
        }
        synchronized (this) {
            link.isOpen = false;
            links.remove(link);
            calls.values().removeIf(held -> {
                boolean isGivenUp = held.link == link && !held.stands;
                if (isGivenUp) {
                    rig.rec.line(name + " set-up " + hex(held.call) + " is given up, its connection closed");
                }
                return isGivenUp;
            });
        }
    }

    private void received(Link link, Msg message, int born) {
        switch (message.type) {
            case Msg.SETUP -> {
                setups++;
                rig.rec.line(name + " gets set-up " + message.id());
                Held held = new Held(message.call, link);
                calls.put(message.call, held);
                rig.after(answerMillis, () -> answer(held, born));
            }
            case Msg.RELEASE -> {
                releases++;
                Held held = calls.remove(message.call);
                rig.rec.line(name + " gets release " + message.id() + " of "
                        + (held == null ? "no call" : held.stands ? "a standing call" : "a set-up"));
                link.send(new Msg(Msg.RELEASE_HEARD, message.call));
            }
            case Msg.TEST -> link.send(new Msg(Msg.TEST_RESULT, message.call).cause(1));
            default -> {}
        }
    }

    private void answer(Held held, int born) {
        synchronized (this) {
            if (born != generation || isSilent || calls.get(held.call) != held) {
                return;
            }
            held.stands = true;
            rig.rec.line(name + " answers " + hex(held.call));
            if (answersToLose > 0) {
                answersToLose--;
                rig.rec.say("the answer of " + name + " to " + hex(held.call) + " is lost: its connection is reset");
                try {
                    held.link.socket.setSoLinger(true, 0);
                    held.link.socket.close();
                } catch (IOException e) {
                    rig.rec.say("not reset: " + e);
                }
                return;
            }
        }
        held.link.send(new Msg(Msg.ANSWER, held.call).with(174, description.apply(held.call)));
    }

    static String hex(long call) {
        return String.format("%016x", call);
    }

    /** The calls that stand here now. */
    synchronized List<Long> standing() {
        return calls.values().stream().filter(held -> held.stands).map(held -> held.call).toList();
    }

    synchronized boolean holds(long call) {
        return calls.containsKey(call);
    }
}
