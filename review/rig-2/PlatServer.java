import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A session server of the platform, as a process of its own. Usage: PlatServer PORT WORK_MS HOLD_MS. Its processor has one
 * line: each set-up takes WORK_MS of it, and is turned away once the wait passes 2500 ms. It prints a line for each event:
 * {@code setup ID}, {@code stands ID}, {@code refused ID}, {@code givenup ID}, {@code dropped ID} (with its connection), {@code over ID} (it ended the call), {@code cut ID} (the call
 * controller did). It tells its free lines on each new connection, with each change, at least every 300 ms.
 */
public final class PlatServer {

    private static final int LINES = 2000;
    private static final long MAX_WAIT_MS = 2500;

    private record Work(Socket socket, Plat.Msg setup) {}

    private final long workMs;
    private final long holdMs;
    private final LinkedBlockingQueue<Work> queue = new LinkedBlockingQueue<>();
    private final Map<Long, Work> open = new ConcurrentHashMap<>();
    private final Map<Long, Socket> standing = new ConcurrentHashMap<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final Map<Long, Boolean> released = new HashMap<>();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

    private PlatServer(long workMs, long holdMs) {
        this.workMs = workMs;
        this.holdMs = holdMs;
    }

    public static void main(String[] args) throws IOException {
        new PlatServer(Long.parseLong(args[1]), Long.parseLong(args[2])).serve(Integer.parseInt(args[0]));
    }

    private static synchronized void say(String line) {
        System.out.println(System.currentTimeMillis() + " " + line);
        System.out.flush();
    }

    private void serve(int port) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(Rig.LOOPBACK, port), 200);
        new Thread(this::work).start();
        timer.scheduleAtFixedRate(this::tellState, 300, 300, TimeUnit.MILLISECONDS);
        new Thread(() -> {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    new Thread(() -> connection(socket)).start();
                }
            } catch (IOException e) {
                say("accept-failed " + e);
            }
        }).start();
        say("listens");
        BufferedReader commands = new BufferedReader(new InputStreamReader(System.in));
        while (commands.readLine() != null) {
            continue;
        }
        System.exit(0);
    }

    private Plat.Msg state() {
        return Plat.Msg.of(Plat.STATE, 0).with(156, "free:" + (LINES - standing.size()) + ";size:" + LINES);
    }

    private void tellState() {
        sockets.forEach(socket -> write(socket, state()));
    }

    private static void write(Socket socket, Plat.Msg message) {
        try {
            Plat.write(socket, message);
        } catch (IOException e) {
            // Its reader notices that it has ended.
        }
    }

    private void connection(Socket socket) {
        try {
            write(socket, state());
            synchronized (released) {
                released.keySet().forEach(id -> write(socket, Plat.Msg.of(Plat.RELEASE, id).cause(16)));
                released.clear();
            }
            sockets.add(socket);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
                handle(socket, Plat.read(in));
            }
        } catch (IOException e) {
            sockets.remove(socket);
            open.forEach((id, work) -> {
                if (work.socket == socket && open.remove(id, work)) {
                    say("dropped " + String.format("%016x", id));   // the set-ups open on it are given up
                }
            });
            Rig.reset(socket);
        }
    }

    private void handle(Socket socket, Plat.Msg message) {
        long id = message.call();
        switch (message.type()) {
            case Plat.SETUP -> {
                say("setup " + message.id());
                Work work = new Work(socket, message);
                if (queue.size() * workMs > MAX_WAIT_MS) {
                    say("refused " + message.id());
                    write(socket, Plat.Msg.of(Plat.RELEASE, id).cause(34).with(150, "queue_long"));
                } else {
                    open.put(id, work);
                    queue.add(work);
                }
            }
            case Plat.RELEASE -> {
                if (open.remove(id) != null) {
                    say("givenup " + message.id());
                } else if (standing.remove(id) != null) {
                    say("cut " + message.id());
                }
                write(socket, Plat.Msg.of(Plat.HEARD, id));
            }
            case Plat.TEST -> write(socket, Plat.Msg.of(Plat.TEST_RESULT, id).cause(1));
            default -> {}
        }
    }

    private void work() {
        try {
            while (true) {
                Work work = queue.take();
                Thread.sleep(workMs);
                long id = work.setup.call();
                if (!open.remove(id, work)) {
                    continue;   // it was given up
                }
                standing.put(id, work.socket);
                say("stands " + work.setup.id());
                write(work.socket, Plat.Msg.of(Plat.ANSWER, id).with(174, work.setup.parameters().get(174)));
                timer.schedule(() -> end(id), holdMs, TimeUnit.MILLISECONDS);
                timer.execute(this::tellState);
            }
        } catch (InterruptedException e) {
            say("stopped");
        }
    }

    private void end(long id) {
        Socket socket = standing.remove(id);
        if (socket == null) {
            return;
        }
        say("over " + String.format("%016x", id));
        Socket used = sockets.contains(socket) ? socket : sockets.isEmpty() ? null : sockets.get(0);
        if (used != null) {
            write(used, Plat.Msg.of(Plat.RELEASE, id).cause(16));
        }
        synchronized (released) {
            released.put(id, true);   // and on the next connection that opens as well
        }
    }
}
