import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;

/** A sound caller: many calls on one connection; a call that stands is released by it when its time is over. */
final class Client {

    enum State { SENT, STANDS, REFUSED, FAILED, GIVEN_UP, RELEASED, TOLD_OVER, LOST }

    static final class CallOf {
        final long id;
        final long sentNanos;
        final int waitMillis;
        volatile State state = State.SENT;
        volatile long changedNanos;
        /** The cause with which the call controller said that a standing call is over. */
        volatile int cause = -1;
        volatile byte[] description;
        volatile int answers;

        CallOf(long id, int waitMillis) {
            this.id = id;
            this.waitMillis = waitMillis;
            this.sentNanos = System.nanoTime();
        }
    }

    private final Rig rig;
    private final String name;
    private final int port;
    final Map<Long, CallOf> calls = new LinkedHashMap<>();
    private Socket socket;
    volatile boolean isOpen;

    Client(Rig rig, String name, int port) {
        this.rig = rig;
        this.name = name;
        this.port = port;
    }

    void connect() throws IOException {
        Socket opened = new Socket();
        opened.setTcpNoDelay(true);
        opened.connect(new InetSocketAddress(Rig.loopback(), port), 1000);
        synchronized (this) {
            socket = opened;
            isOpen = true;
        }
        Rig.daemon(name, () -> read(opened));
    }

    private void read(Socket from) {
        String end = "the end of the stream";
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(from.getInputStream()))) {
            for (Msg message = Msg.read(in); message != null; message = Msg.read(in)) {
                received(message);
            }
        } catch (IOException e) {
            end = e.getMessage();
        }
        synchronized (this) {
            if (socket == from) {
                isOpen = false;
                int lost = 0;
                for (CallOf call : calls.values()) {
                    if (call.state == State.SENT) {
                        change(call, State.LOST);
                        lost++;
                    }
                }
                rig.rec.say(name + "'s connection ended (" + end + ") with " + lost + " set-ups unanswered");
            }
        }
    }

    private void change(CallOf call, State state) {
        call.state = state;
        call.changedNanos = System.nanoTime();
    }

    private synchronized void received(Msg message) {
        CallOf call = calls.get(message.call);
        if (message.type == Msg.TEST_RESULT || message.type == Msg.RELEASE_HEARD) {
            return;
        }
        if (call == null) {
            rig.rec.line(name + " gets type " + message.type + " of unknown call " + message.id());
            return;
        }
        if (message.type == Msg.ANSWER) {
            call.answers++;
            call.description = message.parameters.get(174);
            if (call.state == State.SENT) {
                change(call, State.STANDS);
                rig.rec.line(name + " gets answer " + message.id());
            } else {
                rig.rec.line(name + " gets answer " + message.id() + " in state " + call.state);
            }
        } else if (message.type == Msg.RELEASE) {
            rig.rec.line(name + " gets release " + message.id() + " cause " + message.cause() + " in state " + call.state);
            int cause = message.cause();
            if (call.state == State.STANDS) {
                call.cause = cause;
                change(call, State.TOLD_OVER);
            } else if (call.state == State.SENT) {
                call.answers++;
                change(call, cause == 34 || cause == 42 || cause == 102 ? State.REFUSED : State.FAILED);
            }
        }
    }

    /** Sends a set-up; the caller gives it up once its wait is over. */
    synchronized CallOf setup(long id, String callClass, int waitMillis, int dest, byte[] description) {
        CallOf call = new CallOf(id, waitMillis);
        calls.put(id, call);
        rig.rec.line(name + " sends set-up " + SessionServer.hex(id) + " " + callClass);
        send(new Msg(Msg.SETUP, id).with(129, callClass).with(132, Integer.toString(waitMillis))
                .with(141, String.format("%016x", id * 0x9e3779b97f4a7c15L)).with(144, "dest:" + dest + ";width:1;via:-1")
                .with(174, description));
        return call;
    }

    /** Ends a standing call; false if there is no connection now. */
    synchronized boolean release(CallOf call) {
        if (!isOpen) {
            return false;
        }
        if (call.state == State.STANDS) {
            rig.rec.line(name + " sends release " + SessionServer.hex(call.id));
            change(call, State.RELEASED);
            send(new Msg(Msg.RELEASE, call.id).cause(16));
        }
        return true;
    }

    synchronized boolean send(Msg message) {
        try {
            socket.getOutputStream().write(message.bytes());
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    synchronized void closeNow() throws IOException {
        socket.close();
    }

    synchronized long count(State state) {
        return calls.values().stream().filter(call -> call.state == state).count();
    }

    synchronized String summary() {
        StringBuilder text = new StringBuilder(name + ": " + calls.size() + " calls");
        for (State state : State.values()) {
            if (count(state) > 0) {
                text.append(", ").append(count(state)).append(' ').append(state);
            }
        }
        return text.toString();
    }

    /** Waits until the call controller at this port passes a test, as the front does before it takes one in. */
    static void awaitTest(int port, long millis) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            try (Socket socket = new Socket(Rig.loopback(), port)) {
                socket.setSoTimeout(1000);
                socket.getOutputStream().write(new Msg(Msg.TEST, 0).cause(0).bytes());
                Msg reply = Msg.read(new DataInputStream(socket.getInputStream()));
                if (reply != null && reply.type == Msg.TEST_RESULT && reply.cause() == 1) {
                    return;
                }
            } catch (IOException e) {
                // not yet
            }
            Rig.sleep(50);
        }
        throw new IllegalStateException("no test passed");
    }
}
