package pathlane.crossings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import pathlane.wire.Message;

/** Remote end of one connection, as a client or a session server, that a test controls step by step. */
final class Peer implements AutoCloseable {

    private static final int TIMEOUT_MS = 20_000;

    private final Socket socket;
    private final DataInputStream in;

    private Peer(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MS);
        in = new DataInputStream(socket.getInputStream());
    }

    /** Connects without waiting until the remote end accepts. */
    static Peer to(InetSocketAddress address) throws IOException {
        return new Peer(new Socket(address.getAddress(), address.getPort()));
    }

    /** Accepts the next connection to a server socket. */
    static Peer at(ServerSocket server) throws IOException {
        server.setSoTimeout(TIMEOUT_MS);
        return new Peer(server.accept());
    }

    static ServerSocket server() throws IOException {
        return new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    }

    /** Sends all messages in one write. */
    void send(Message... messages) throws IOException {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        for (Message message : messages) {
            buffer.writeBytes(message.bytes());
        }
        socket.getOutputStream().write(buffer.toByteArray());
    }

    /** Sends a part of a message. */
    void sendBytes(byte[] message, int from, int to) throws IOException {
        socket.getOutputStream().write(message, from, to - from);
    }

    Message next() throws IOException {
        byte[] frame = new byte[in.readUnsignedShort()];
        in.readFully(frame);
        return Message.read(ByteBuffer.wrap(frame));
    }

    /** Reads the next message and checks its type and call. */
    Message next(int type, long call) throws IOException {
        Message message = next();
        assertEquals(type + " of " + Long.toHexString(call), message.type + " of " + Long.toHexString(message.callId));
        return message;
    }

    /** Waits for an orderly close by the remote side; no data may arrive before it. */
    void awaitEnd() throws IOException {
        assertEquals(-1, in.read(), "data received before the close");
    }

    /** Exchanges a connection test: it passes once the connection is open and the program reads it. */
    void awaitTestPassed() throws IOException {
        send(new Message(Message.HEALTH_CHECK, 0xab).withCause(0));
        next(Message.HEALTH_CHECK_RESULT, 0xab);
    }

    /** Half-closes the connection: closes the output and keeps reading. */
    void closeOutput() throws IOException {
        socket.shutdownOutput();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    static Message callRequest(long call, int cell) {
        return new Message(Message.CALL_REQUEST, call).with(Message.CALL_CLASS, "plain")
                .with(Message.REMAINING_DEADLINE, "8000")
                .with(Message.DESTINATION, "n" + call).with(Message.ROUTING_PARAMETERS, "dest:" + cell + ";width:1;via:-1")
                .with(Message.DESCRIPTION, new byte[] {1, 2});
    }

    static Message answer(long call) {
        return new Message(Message.ANSWER, call).with(Message.DESCRIPTION, new byte[] {3});
    }

    static Message release(long call) {
        return new Message(Message.RELEASE, call).withCause(16);
    }
}
