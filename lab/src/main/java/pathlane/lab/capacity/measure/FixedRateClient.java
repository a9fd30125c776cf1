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
 * One client connection with a thread that reads it. A call's latency is measured from its scheduled request time, not from
 * when it was written, so that a stall of either side is included (no coordinated omission). Thread-safe.
 */
final class FixedRateClient implements AutoCloseable {

    private static final String CALL_CLASS = "status-check";
    private static final String REMAINING_DEADLINE_MILLIS = "6000";
    private static final int NORMAL_RELEASE_CAUSE = 16;
    private static final int BUFFER_BYTES = 64 * 1024;
    private static final long NANOS_IN_MICRO = 1_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Socket socket;
    private final OutputStream out;
    private final boolean releases;
    private final Map<Long, Long> scheduledNanosByCall = new ConcurrentHashMap<>();
    private final AtomicLong answered = new AtomicLong();
    private final AtomicLong rejected = new AtomicLong();
    private volatile Histogram latencies = new ConcurrentHistogram(SIGNIFICANT_DIGITS);

    /** Connects; {@code releases} is whether each call is released as soon as it is answered, or stays established. */
    FixedRateClient(int port, boolean releases) throws IOException {
        this.socket = new Socket(InetAddress.getLoopbackAddress(), port);
        this.releases = releases;
        socket.setTcpNoDelay(true);
        out = socket.getOutputStream();
        Thread reader = new Thread(this::read, "answers");
        reader.setDaemon(true);
        reader.start();
    }

    /** Requests a call that was scheduled for this time of {@link System#nanoTime}. */
    void request(long id, int destination, long scheduledNanos) throws IOException {
        scheduledNanosByCall.put(id, scheduledNanos);
        write(new Message(Message.CALL_REQUEST, id).with(Message.CALL_CLASS, CALL_CLASS)
                .with(Message.REMAINING_DEADLINE, REMAINING_DEADLINE_MILLIS)
                .with(Message.DESTINATION, "n" + id)
                .with(Message.ROUTING_PARAMETERS, "dest:" + destination + ";width:1;via:-1")
                .with(Message.DESCRIPTION, new byte[] {1, 2}));
    }

    private synchronized void write(Message message) throws IOException {
        out.write(message.bytes());
    }

    private void read() {
        FrameAssembler assembler = Message.assembler();
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = socket.getInputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                assembler.feed(ByteBuffer.wrap(buffer, 0, count), frame -> handleResponse(Message.read(frame)));
            }
        } catch (IOException | UncheckedIOException e) {
            return;   // closed; requests without a response are counted as unanswered
        }
    }

    private void handleResponse(Message message) {
        Long scheduledNanos = scheduledNanosByCall.remove(message.callId);
        if (scheduledNanos == null) {
            return;
        }
        if (message.type != Message.ANSWER) {
            rejected.incrementAndGet();
            return;
        }
        latencies.recordValue(Math.max(0, System.nanoTime() - scheduledNanos) / NANOS_IN_MICRO);
        answered.incrementAndGet();
        if (releases) {
            try {
                write(new Message(Message.RELEASE, message.callId).withCause(NORMAL_RELEASE_CAUSE));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Returns the latencies in microseconds of the calls answered since the last invocation. */
    Histogram takeLatencies() {
        Histogram taken = latencies;
        latencies = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
        return taken;
    }

    long answered() {
        return answered.get();
    }

    /** Number of calls that were rejected or failed. */
    long rejected() {
        return rejected.get();
    }

    /** Number of calls without a response. */
    int pending() {
        return scheduledNanosByCall.size();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
