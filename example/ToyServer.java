import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Timer;
import java.util.TimerTask;

/** A minimal session server: establishes each call after 50 ms and releases it 2 s later. Usage: java ToyServer.java 5001 */
public final class ToyServer {

    private static final int SET_UP = 1;
    private static final int ANSWER = 9;
    private static final int RELEASE = 12;
    private static final byte[] DESCRIPTION = {(byte) 174, 0, 2, 'o', 'k'};
    private static final byte[] CAUSE_CALL_OVER = {(byte) 171, 0, 1, 16};
    private static final Timer TIMER = new Timer(true);

    public static void main(String[] args) throws IOException {
        int port = Integer.parseInt(args[0]);
        try (ServerSocket server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress())) {
            System.out.println("example session server on " + port);
            while (true) {
                Socket socket = server.accept();
                new Thread(() -> serve(socket)).start();
            }
        }
    }

    private static void serve(Socket socket) {
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            while (true) {
                byte[] message = new byte[in.readUnsignedShort()];
                in.readFully(message);
                long call = ByteBuffer.wrap(message).getLong(1);
                System.out.printf("%016x: message of type %d%n", call, message[0]);
                if (message[0] == SET_UP) {
                    after(50, () -> send(out, ANSWER, call, DESCRIPTION));
                    after(2050, () -> send(out, RELEASE, call, CAUSE_CALL_OVER));
                }
            }
        } catch (IOException e) {
            System.out.println("connection closed");
        }
    }

    private static void after(int millis, Runnable task) {
        TIMER.schedule(new TimerTask() {
            @Override
            public void run() {
                task.run();
            }
        }, millis);
    }

    private static void send(DataOutputStream out, int type, long call, byte[] parameters) {
        try {
            synchronized (out) {
                out.writeShort(1 + Long.BYTES + parameters.length);
                out.writeByte(type);
                out.writeLong(call);
                out.write(parameters);
                out.flush();
            }
        } catch (IOException e) {
            System.out.printf("%016x: the call controller has disconnected%n", call);
        }
    }
}
