package pathlane.lab.capacity.measure;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import pathlane.wire.FrameAssembler;
import pathlane.wire.Message;

/**
 * One caller's connection with a thread that reads it. A call's latency runs from when it was meant to be asked, not from
 * when it was written, so that a stall of either side is not left out (coordinated omission). Safe for threads.
 */
final class PacedCaller implements AutoCloseable {

    private static final String CALL_CLASS = "status-check";
    private static final String PATIENCE_MILLIS = "6000";
    private static final int OVER = 16;
    private static final int BUFFER = 64 * 1024;
    private static final long NANOS_IN_MICRO = 1_000;
    private static final int DIGITS = 3;

    private final Socket socket;
    private final OutputStream out;
    private final boolean releases;
    private final Map<Long, Long> meantAt = new ConcurrentHashMap<>();
    private final AtomicLong answered = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private volatile Histogram latencies = new ConcurrentHistogram(DIGITS);

    /** Connects; {@code releases} is whether each call is released as soon as it is answered, or stands. */
    PacedCaller(int port, boolean releases) throws IOException {
        this.socket = new Socket(InetAddress.getLoopbackAddress(), port);
        this.releases = releases;
        socket.setTcpNoDelay(true);
        out = socket.getOutputStream();
        Thread reader = new Thread(this::read, "answers");
        reader.setDaemon(true);
        reader.start();
    }

    /** Asks for a call that was meant to be asked at this time of {@link System#nanoTime}. */
    void ask(long id, int place, long meantNanos) throws IOException {
        meantAt.put(id, meantNanos);
        write(new Message(Message.SET_UP, id).with(Message.CLASS, CALL_CLASS).with(Message.PATIENCE, PATIENCE_MILLIS)
                .with(Message.NUMBER, "n" + id).with(Message.FIGURES, "dest:" + place + ";width:1;via:-1")
                .with(Message.DESCRIPTION, new byte[] {1, 2}));
    }

    private synchronized void write(Message message) throws IOException {
        out.write(message.bytes());
    }

    private void read() {
        FrameAssembler assembler = Message.assembler();
        byte[] buffer = new byte[BUFFER];
        try {
            InputStream in = socket.getInputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                assembler.feed(ByteBuffer.wrap(buffer, 0, count), frame -> heard(Message.read(frame)));
            }
        } catch (IOException | UncheckedIOException e) {
            return;   // closed; what was asked and not heard of is counted as unanswered
        }
    }

    private void heard(Message message) {
        Long meant = meantAt.remove(message.call);
        if (meant == null) {
            return;
        }
        if (message.type != Message.ANSWER) {
            refused.incrementAndGet();
            return;
        }
        latencies.recordValue(Math.max(0, System.nanoTime() - meant) / NANOS_IN_MICRO);
        answered.incrementAndGet();
        if (releases) {
            try {
                write(new Message(Message.RELEASE, message.call).withCause(OVER));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Microseconds of what was answered since this was last called. */
    Histogram takeLatencies() {
        Histogram taken = latencies;
        latencies = new ConcurrentHistogram(DIGITS);
        return taken;
    }

    long answered() {
        return answered.get();
    }

    /** Calls that ended without an answer. */
    long refused() {
        return refused.get();
    }

    /** Calls that wait. */
    int open() {
        return meantAt.size();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
