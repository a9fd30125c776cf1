import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** The event bus: numbered events, the whole list first, and an empty frame each second. */
final class Bus {

    static final int READY = 0;
    static final int DRAINING = 1;
    static final int GONE = 2;

    /** One entry of an event. */
    record Entry(SessionServer server, int state, int zone, long bornMillis) {

        String json() {
            String health = state == READY ? "SERVING" : state == DRAINING ? "DRAINING" : "DELETED";
            return "{\"host\":\"" + server.name + "\",\"dial\":\"127.0.0.1:" + server.port + "\",\"site\":\"" + ZONES[zone]
                    + "\",\"class\":\"standard\",\"block\":" + (server.id & 0xff) + ",\"health\":\"" + health
                    + "\",\"share\":1,\"born_ms\":" + bornMillis + "}";
        }

        byte[] record() {
            return ByteBuffer.allocate(27).putInt((int) server.id).put(new byte[] {127, 0, 0, 1})
                    .putShort((short) server.port).put((byte) state).put((byte) zone).put((byte) 0)
                    .putShort((short) (server.id & 0xff)).putInt(1000).putLong(bornMillis).array();
        }
    }

    static final String[] ZONES = {"dakar", "thies", "saint-louis"};

    private final Rig rig;
    final ServerSocket listening;
    private final List<List<Entry>> events = new ArrayList<>();
    private final List<OutputStream> subscribers = new ArrayList<>();

    Bus(Rig rig, List<Entry> whole) throws IOException {
        this.rig = rig;
        events.add(whole);
        listening = new ServerSocket(0, 64, Rig.loopback());
        Rig.daemon("bus", this::accept);
        Rig.daemon("bus pulse", () -> {
            while (true) {
                Rig.sleep(1000);
                synchronized (this) {
                    send(frame(events.size(), 0, new byte[0]));
                }
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listening.getLocalPort();
    }

    /** The events so far, as the configuration's {@code known} has them. */
    synchronized String knownJson() {
        StringBuilder batch = new StringBuilder();
        for (int i = 0; i < events.size(); i++) {
            String hosts = String.join(",", events.get(i).stream().map(Entry::json).toList());
            batch.append(i == 0 ? "" : ",").append("{\"offset\":" + (i + 1) + ",\"topology\":{\"seq\":" + (i + 1)
                    + ",\"whole\":" + (i == 0) + ",\"hosts\":[" + hosts + "]}}");
        }
        return "{\"offset\":" + events.size() + ",\"batch\":[" + batch + "]}";
    }

    /** A change of the list. */
    synchronized void tell(List<Entry> changes) {
        events.add(changes);
        changes.forEach(entry -> rig.rec.say("the event bus tells: " + entry.json()));
        send(event(events.size()));
    }

    private byte[] event(int number) {
        ByteArrayOutputStream records = new ByteArrayOutputStream();
        events.get(number - 1).forEach(entry -> records.writeBytes(entry.record()));
        return frame(number, number == 1 ? 1 : 2, records.toByteArray());
    }

    private static byte[] frame(long number, int kind, byte[] payload) {
        return ByteBuffer.allocate(13 + payload.length).putInt(9 + payload.length).putLong(number).put((byte) kind)
                .put(payload).array();
    }

    private void send(byte[] frame) {
        subscribers.removeIf(out -> {
            try {
                out.write(frame);
                return false;
            } catch (IOException e) {
                return true;
            }
        });
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listening.accept();
                Rig.daemon("bus subscriber", () -> {
                    try {
                        socket.setTcpNoDelay(true);
                        long last = new DataInputStream(socket.getInputStream()).readLong();
                        synchronized (this) {
                            for (int number = (int) last + 1; number <= events.size(); number++) {
                                socket.getOutputStream().write(event(number));
                            }
                            socket.getOutputStream().write(frame(events.size(), 0, new byte[0]));
                            subscribers.add(socket.getOutputStream());
                        }
                    } catch (IOException e) {
                        // the call controller left
                    }
                });
            }
        } catch (IOException e) {
            // the case is over
        }
    }
}
