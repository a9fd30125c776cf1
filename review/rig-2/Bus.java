import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** The event bus: it tells each event after the last one that a call controller has, and an empty frame each second. */
final class Bus {

    /** An entry of the list. State: 0 ready, 1 draining, 2 gone. */
    record Server(int id, int port, int state, int cell, long started) {}

    private record Event(int kind, List<Server> servers) {}

    final int port;
    private ServerSocket listener;
    private final List<Event> events = new ArrayList<>();
    private final List<Socket> open = new ArrayList<>();

    Bus(List<Server> whole) throws IOException {
        events.add(new Event(1, whole));
        listen(0);
        port = listener.getLocalPort();
    }

    private void listen(int at) throws IOException {
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(new InetSocketAddress(Rig.LOOPBACK, at), 50);
        listener = opened;
        Thread acceptor = new Thread(() -> {
            try {
                while (true) {
                    Socket socket = opened.accept();
                    Thread teller = new Thread(() -> tell(socket));
                    teller.setDaemon(true);
                    teller.start();
                }
            } catch (IOException e) {
                // It is down.
            }
        });
        acceptor.setDaemon(true);
        acceptor.start();
    }

    /** Ends all connections and accepts none, until {@link #up}. */
    void down() throws IOException {
        listener.close();
        synchronized (open) {
            open.forEach(Rig::reset);
            open.clear();
        }
    }

    void up() throws IOException {
        listen(port);
    }

    synchronized void change(Server... servers) {
        events.add(new Event(2, List.of(servers)));
        notifyAll();
    }

    private void tell(Socket socket) {
        synchronized (open) {
            open.add(socket);
        }
        try {
            int next = (int) new DataInputStream(socket.getInputStream()).readLong() + 1;
            while (true) {
                byte[] frame;
                synchronized (this) {
                    if (events.size() < next) {
                        wait(1000);
                    }
                    frame = events.size() >= next ? frame(next, events.get(next - 1)) : frame(next - 1, new Event(0, List.of()));
                    next = events.size() >= next ? next + 1 : next;
                }
                socket.getOutputStream().write(frame);
            }
        } catch (IOException | InterruptedException e) {
            Rig.reset(socket);
        }
    }

    private static byte[] frame(int number, Event event) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ByteBuffer.allocate(13).putInt(9 + 27 * event.servers.size()).putLong(number).put((byte) event.kind)
                .array());
        for (Server server : event.servers) {
            out.writeBytes(ByteBuffer.allocate(27).putInt(server.id).put(new byte[] {127, 0, 0, 1})
                    .putShort((short) server.port).put((byte) server.state).put((byte) 0).put((byte) 0)
                    .putShort((short) server.cell).putInt(1000).putLong(server.started).array());
        }
        return out.toByteArray();
    }
}
