package pathlane.standin;

import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.MethodDescriptor.MethodType;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerServiceDefinition;
import io.grpc.Status;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import pathlane.core.Scheduler;

/**
 * The session server as a gRPC service with three methods: {@code Check} is a unary call, over with its answer;
 * {@code Sign} a stream whose first message is the answer and which ends after the time that it holds; {@code Talk} goes
 * both ways: headers are the answer, every message comes back, and it ends when its client half-closes.
 */
public final class GrpcFront {

    /** The service's name. */
    public static final String SERVICE = "signing.Sessions";
    /** Unary: the answer is the request. */
    public static final MethodDescriptor<byte[], byte[]> CHECK = method("Check", MethodType.UNARY);
    /** Server streaming: the answer is the request, then nothing, then the end. */
    public static final MethodDescriptor<byte[], byte[]> SIGN = method("Sign", MethodType.SERVER_STREAMING);
    /** Both ways: headers are the answer to the first message, every message comes back. */
    public static final MethodDescriptor<byte[], byte[]> TALK = method("Talk", MethodType.BIDI_STREAMING);
    /** Identifies a call in all its attempts so that the rules can be checked; set by a test's clients. */
    public static final Metadata.Key<String> CALL = Metadata.Key.of("call", Metadata.ASCII_STRING_MARSHALLER);
    /** The wait that a server states when it rejects a call. */
    public static final Metadata.Key<String> PUSHBACK =
            Metadata.Key.of("grpc-retry-pushback-ms", Metadata.ASCII_STRING_MARSHALLER);

    private final String name;
    private final Processor processor;
    private final Scheduler time;
    private final Executor turn;
    private final Duration holds;
    private final RuleBook rules;
    private long lastId;
    private Status answer = Status.OK;

    /**
     * A front of a processor.
     *
     * @param turn runs tasks one at a time, those of the processor's timers included
     * @param holds how long a stream stands
     * @param rules what is watched, or null for nothing
     */
    public GrpcFront(String name, Processor processor, Scheduler time, Executor turn, Duration holds, RuleBook rules) {
        this.name = name;
        this.processor = processor;
        this.time = time;
        this.turn = turn;
        this.holds = holds;
        this.rules = rules;
    }

    /** From now on calls that would have stood end with this status instead; OK for as usual. */
    public void answerWith(Status status) {
        answer = status;
    }

    /** The service, to be added to a gRPC server. */
    public ServerServiceDefinition service() {
        return ServerServiceDefinition.builder(SERVICE).addMethod(CHECK, handler(false)).addMethod(SIGN, handler(true))
                .addMethod(TALK, handler(true))
                .build();
    }

    private ServerCallHandler<byte[], byte[]> handler(boolean stream) {
        return (call, headers) -> {
            call.request(1);
            return new Session(call, headers.get(CALL), stream);
        };
    }

    /** One call at this server. */
    private final class Session extends ServerCall.Listener<byte[]> implements Processor.Caller {

        private final ServerCall<byte[], byte[]> call;
        private final String key;
        private final boolean stream;
        private String id;
        private byte[] request;
        private final List<byte[]> words = new ArrayList<>();
        private boolean stands;
        private boolean over;

        Session(ServerCall<byte[], byte[]> call, String key, boolean stream) {
            this.call = call;
            this.key = key;
            this.stream = stream;
        }

        @Override
        public void onMessage(byte[] message) {
            request = message;
            if (talks()) {
                call.request(1);
                turn.execute(() -> {
                    words.add(message);
                    if (id == null) {
                        setUp();
                    }
                    sayWords();
                });
            }
        }

        private boolean talks() {
            return call.getMethodDescriptor().getType() == MethodType.BIDI_STREAMING;
        }

        private void sayWords() {
            if (stands && !over) {
                words.forEach(call::sendMessage);
                words.clear();
            }
        }

        private void setUp() {
            id = name + "-" + ++lastId;
            if (rules != null && key != null) {
                rules.sent(key, name, nowMs());
            }
            processor.setUp(id, this);
        }

        @Override
        public void onHalfClose() {
            if (!talks()) {
                turn.execute(this::setUp);
                return;
            }
            turn.execute(() -> {
                if (stands) {
                    processor.released(id);
                    close(Status.OK, new Metadata(), false);
                }
            });
        }

        @Override
        public void onCancel() {
            turn.execute(() -> {
                if (!over) {
                    over(true);
                    processor.released(id);
                }
            });
        }

        private void over(boolean lost) {
            over = true;
            if (rules != null && key != null) {
                rules.over(key, lost, nowMs());
            }
        }

        private double nowMs() {
            return pathlane.config.Millis.of(time.now());
        }

        private void close(Status status, Metadata trailers, boolean lost) {
            if (!over) {
                over(lost);
                call.close(status, trailers);
            }
        }

        @Override
        public void answered() {
            if (over) {
                return;
            }
            if (!answer.isOk()) {
                processor.released(id);
                close(answer, new Metadata(), false);
                return;
            }
            stands = true;
            call.sendHeaders(new Metadata());
            if (talks()) {
                time.after(Duration.ofMillis(100), this::sayWords);   // headers alone, at first
                return;
            }
            call.sendMessage(request);
            if (stream) {
                time.after(holds, () -> {
                    processor.released(id);
                    close(Status.OK, new Metadata(), false);
                });
            } else {
                processor.released(id);
                close(Status.OK, new Metadata(), false);
            }
        }

        @Override
        public void turnedAway(Duration wait) {
            Metadata trailers = new Metadata();
            trailers.put(PUSHBACK, Long.toString(wait.toMillis()));
            close(Status.RESOURCE_EXHAUSTED.withDescription("processor full"), trailers, false);
        }

        @Override
        public void cut() {
            close(Status.UNAVAILABLE.withDescription("the process stops"), new Metadata(), true);
        }
    }

    private static MethodDescriptor<byte[], byte[]> method(String method, MethodType type) {
        return MethodDescriptor.<byte[], byte[]>newBuilder().setType(type)
                .setFullMethodName(MethodDescriptor.generateFullMethodName(SERVICE, method))
                .setRequestMarshaller(Bytes.PLAIN).setResponseMarshaller(Bytes.PLAIN).build();
    }

    /** Messages are bytes, whatever they mean. */
    private enum Bytes implements MethodDescriptor.Marshaller<byte[]> {
        PLAIN;

        @Override
        public InputStream stream(byte[] value) {
            return new ByteArrayInputStream(value);
        }

        @Override
        public byte[] parse(InputStream stream) {
            try {
                return stream.readAllBytes();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
