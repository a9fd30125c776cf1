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

/** The other end of one connection, a caller's or a session server's, that a test drives step by step. */
final class Peer implements AutoCloseable {

    private static final int MOST_WAIT_MS = 20_000;

    private final Socket socket;
    private final DataInputStream in;

    private Peer(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(MOST_WAIT_MS);
        in = new DataInputStream(socket.getInputStream());
    }

    /** Connects; the other end need not accept it yet. */
    static Peer to(InetSocketAddress address) throws IOException {
        return new Peer(new Socket(address.getAddress(), address.getPort()));
    }

    /** Waits for the next connection to a server. */
    static Peer at(ServerSocket server) throws IOException {
        server.setSoTimeout(MOST_WAIT_MS);
        return new Peer(server.accept());
    }

    static ServerSocket server() throws IOException {
        return new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    }

    /** All in one write. */
    void send(Message... messages) throws IOException {
        ByteArrayOutputStream together = new ByteArrayOutputStream();
        for (Message message : messages) {
            together.writeBytes(message.bytes());
        }
        socket.getOutputStream().write(together.toByteArray());
    }

    /** A part of a message. */
    void sendBytes(byte[] message, int from, int to) throws IOException {
        socket.getOutputStream().write(message, from, to - from);
    }

    Message next() throws IOException {
        byte[] frame = new byte[in.readUnsignedShort()];
        in.readFully(frame);
        return Message.read(ByteBuffer.wrap(frame));
    }

    /** The next message is of this type and call. */
    Message next(int type, long call) throws IOException {
        Message message = next();
        assertEquals(type + " of " + Long.toHexString(call), message.type + " of " + Long.toHexString(message.call));
        return message;
    }

    /** Waits until the other side has ended its side in order; nothing may come before. */
    void awaitEnd() throws IOException {
        assertEquals(-1, in.read(), "something came before the end");
    }

    /** A test is passed: the connection is up, and read. */
    void awaitPassed() throws IOException {
        send(new Message(Message.TEST, 0xab).withCause(0));
        next(Message.TEST_RESULT, 0xab);
    }

    /** Ends what it writes; it reads on. */
    void endThisSide() throws IOException {
        socket.shutdownOutput();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    static Message setUp(long call, int cell) {
        return new Message(Message.SET_UP, call).with(Message.CLASS, "plain").with(Message.PATIENCE, "8000")
                .with(Message.NUMBER, "n" + call).with(Message.FIGURES, "dest:" + cell + ";width:1;via:-1")
                .with(Message.DESCRIPTION, new byte[] {1, 2});
    }

    static Message answer(long call) {
        return new Message(Message.ANSWER, call).with(Message.DESCRIPTION, new byte[] {3});
    }

    static Message release(long call) {
        return new Message(Message.RELEASE, call).withCause(16);
    }
}
