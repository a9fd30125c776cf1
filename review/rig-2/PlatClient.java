import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A client system of the platform: calls of both classes over one shared connection, opened again when it has ended. */
final class PlatClient {

    /** A call and what its caller saw of it. */
    static final class Call {
        final long id = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
        final long patience;
        volatile long sentAt;
        volatile long answeredAt;
        volatile int cause = -1;
        volatile boolean stood;
        volatile long releasedAt;
        volatile boolean gaveUp;
        /** When its connection ended with no answer. */
        volatile long lostAt;
        boolean sentAgain;
        Socket socket;

        Call(long patience) {
            this.patience = patience;
        }

        boolean isOpen() {
            return answeredAt == 0 && lostAt == 0 && !gaveUp;
        }

        String name() {
            return String.format("%016x", id);
        }
    }

    private static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task, "callers");
        thread.setDaemon(true);
        return thread;
    });

    private final Rig rig;
    private final String name;
    private final int port;
    final List<Call> calls = new CopyOnWriteArrayList<>();
    /** All calls: what ends one may come on any connection from callers. */
    private static final Map<Long, Call> BY_ID = new ConcurrentHashMap<>();
    /** Connections on which the call controller has sent anything. */
    private final Map<Socket, Boolean> used = new ConcurrentHashMap<>();
    /** How many of its connections were closed while calls on them had no answer. */
    volatile int closedWithCalls;
    private volatile boolean isOver;
    private Socket socket;

    PlatClient(Rig rig, String name, int port) {
        this.rig = rig;
        this.name = name;
        this.port = port;
    }

    private synchronized Socket socket() throws IOException {
        if (socket == null || socket.isClosed()) {
            Socket opened = Rig.connect(port);
            socket = opened;
            Thread reader = new Thread(() -> read(opened), name);
            reader.setDaemon(true);
            reader.start();
        }
        return socket;
    }

    /** Makes a call; its caller gives it up when its patience ends. */
    Call call() {
        boolean isUrgent = ThreadLocalRandom.current().nextDouble() < 0.06;
        Call call = new Call(isUrgent ? 2100 : 3150);
        calls.add(call);
        BY_ID.put(call.id, call);
        send(call, isUrgent ? "deadline-sign" : "status-check", 3);
        TIMER.schedule(() -> giveUp(call), call.patience, TimeUnit.MILLISECONDS);
        return call;
    }

    private void send(Call call, String callClass, int tries) {
        try {
            Socket used = socket();
            Plat.Msg setup = Plat.Msg.of(Plat.SETUP, call.id).with(129, callClass).with(132, Long.toString(call.patience))
                    .with(141, call.name()).with(144, "dest:" + call.id % 2 + ";width:1;via:-1")
                    .with(174, ("sign " + call.name()).getBytes());
            call.socket = used;
            Plat.write(used, setup);
            call.sentAt = System.currentTimeMillis();
        } catch (IOException e) {
            if (tries > 1) {
                send(call, callClass, tries - 1);   // the set-up was not taken: its connection had ended
            }
        }
    }

    private void giveUp(Call call) {
        if (call.isOpen()) {
            call.gaveUp = true;
            try {
                Plat.write(call.socket, Plat.Msg.of(Plat.RELEASE, call.id).cause(16));
            } catch (IOException e) {
                // The connection has ended, which gives it up as well.
            }
        }
    }

    private void read(Socket from) {
        try {
            DataInputStream in = new DataInputStream(from.getInputStream());
            while (true) {
                Plat.Msg message = Plat.read(in);
                used.put(from, true);
                Call call = BY_ID.get(message.call());
                long now = System.currentTimeMillis();
                if (call == null) {
                    continue;
                }
                if (message.type() == Plat.ANSWER) {
                    call.answeredAt = now;
                    call.stood = true;
                } else if (message.type() == Plat.RELEASE) {
                    if (call.stood) {
                        call.releasedAt = call.releasedAt == 0 ? now : call.releasedAt;
                    } else {
                        call.answeredAt = now;
                        call.cause = message.cause();
                    }
                }
            }
        } catch (IOException e) {
            ended(from, e);
        }
    }

    private void ended(Socket from, IOException how) {
        long now = System.currentTimeMillis();
        Rig.reset(from);
        List<Call> open = new ArrayList<>(calls.stream().filter(call -> call.socket == from && call.isOpen()).toList());
        if (isOver) {
            return;
        }
        closedWithCalls += open.isEmpty() ? 0 : 1;
        rig.note(name + ": connection ended (" + how.getClass().getSimpleName() + "), calls without an answer: " + open.size());
        if (!used.containsKey(from) && !open.isEmpty()) {
            open.remove(0).gaveUp = true;   // the first request on a connection that was closed unused has failed, and is not lost
        }
        for (Call call : open) {
            if (now - call.sentAt <= 50 && !call.sentAgain) {
                call.sentAgain = true;   // it may have crossed the close: sent once more, on a new connection
                send(call, "status-check", 3);
            } else {
                call.lostAt = now;
                rig.note(name + ": " + call.name() + " taken " + (now - call.sentAt) + " ms ago, its connection was closed with"
                        + " no answer");
            }
        }
    }

    /** Writes to the record what was sent and answered. */
    void dump() {
        rig.detail(name + ": id, sent, answered, stood, cause, released by the controller, given up, connection closed");
        for (Call call : calls) {
            rig.detail(name + " " + call.name() + " " + rig.since(call.sentAt) + " " + rig.since(call.answeredAt) + " "
                    + call.stood + " " + call.cause + " " + rig.since(call.releasedAt) + " " + call.gaveUp + " "
                    + rig.since(call.lostAt));
        }
    }

    /** What happens to its connections from now on is of no concern. */
    void over() {
        isOver = true;
    }

    /** Calls at this rate for a time, with exponential gaps. */
    void offer(double perSecond, long millis) throws InterruptedException {
        long end = System.currentTimeMillis() + millis;
        double next = System.currentTimeMillis();
        while (System.currentTimeMillis() < end) {
            next += -Math.log(1 - ThreadLocalRandom.current().nextDouble()) * 1000 / perSecond;
            Rig.sleep((long) next - System.currentTimeMillis());
            call();
        }
    }
}
