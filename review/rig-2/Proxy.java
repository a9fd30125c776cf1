import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A TCP proxy on the loopback address that can drop what either side sends, and reset its connections. */
final class Proxy {

    /** What is sent towards the target is read and dropped. */
    volatile boolean dropsForward;
    /** What the target sends is read and dropped. */
    volatile boolean dropsBack;
    /** Connections are accepted, and nothing comes of them. */
    volatile boolean holds;
    volatile int target;
    volatile long droppedForward;
    volatile long droppedBack;
    final int port;
    private final ServerSocket listener = new ServerSocket();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    Proxy(int target) throws IOException {
        this.target = target;
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(Rig.LOOPBACK, 0), 200);
        port = listener.getLocalPort();
        start("proxy", () -> {
            while (true) {
                accepted(listener.accept());
            }
        });
    }

    private interface Work {
        void run() throws IOException;
    }

    private static void start(String name, Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // The connection has ended.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accepted(Socket near) {
        if (holds) {
            sockets.add(near);
            return;
        }
        try {
            near.setTcpNoDelay(true);
            Socket far = Rig.connect(target);
            sockets.add(near);
            sockets.add(far);
            start("forward", () -> copy(near, far, true));
            start("back", () -> copy(far, near, false));
        } catch (IOException e) {
            Rig.reset(near);
        }
    }

    private void copy(Socket from, Socket to, boolean isForward) throws IOException {
        byte[] buffer = new byte[16384];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                if (isForward && dropsForward) {
                    droppedForward += count;
                } else if (!isForward && dropsBack) {
                    droppedBack += count;
                } else {
                    out.write(buffer, 0, count);
                }
            }
        } finally {
            Rig.reset(from);
            Rig.reset(to);
            sockets.remove(from);
            sockets.remove(to);
        }
    }

    /** Accepts no more connections: they are refused. */
    void refuse() throws IOException {
        listener.close();
    }

    /** Resets all connections on both sides. */
    void resetAll() {
        List.copyOf(sockets).forEach(Rig::reset);
    }
}
