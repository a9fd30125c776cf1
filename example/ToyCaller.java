import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;

/** A minimal client: makes one call and prints its progress until it ends. Usage: java ToyCaller.java 5060 */
public final class ToyCaller {

    private static final int ANSWER = 9;
    private static final int RELEASE = 12;

    public static void main(String[] args) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), Integer.parseInt(args[0]))) {
            long call = ThreadLocalRandom.current().nextLong();
            ByteArrayOutputStream parameters = new ByteArrayOutputStream();
            parameter(parameters, 129, "status-check");
            parameter(parameters, 132, "1500");
            parameter(parameters, 141, "7f3a9c21e0b4d655");
            parameter(parameters, 144, "dest:0;width:1;via:-1");
            parameter(parameters, 174, "sign this");
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeShort(1 + Long.BYTES + parameters.size());
            out.writeByte(1);
            out.writeLong(call);
            parameters.writeTo(out);
            out.flush();
            System.out.printf("%016x: requested%n", call);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            for (boolean isOver = false; !isOver; ) {
                byte[] message = new byte[in.readUnsignedShort()];
                in.readFully(message);
                isOver = message[0] == RELEASE;
                String event = message[0] == ANSWER ? "established" : isOver ? "released, cause "
                        + ByteBuffer.wrap(message).get(1 + Long.BYTES + 3) : "message of type " + message[0];
                System.out.printf("%016x: %s%n", call, event);
            }
        }
    }

    private static void parameter(ByteArrayOutputStream out, int code, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        out.write(code);
        out.write(bytes.length >> 8);
        out.write(bytes.length);
        out.writeBytes(bytes);
    }
}
