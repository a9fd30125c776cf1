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
 * A session server as a gRPC service with three methods: {@code Check} is a unary call that ends with its answer;
 * {@code Sign} is a server stream whose first message is the answer and which ends after the hold time; {@code Talk} is
 * bidirectional: its headers are the answer, every message is echoed, and it ends when the client half-closes.
 */
public final class GrpcSessionServer {

    /** The name of the gRPC service. */
    public static final String SERVICE = "signing.Sessions";
    /** Unary: the response echoes the request. */
    public static final MethodDescriptor<byte[], byte[]> CHECK = method("Check", MethodType.UNARY);
    /** Server streaming: one response that echoes the request, then the end of the stream after the hold time. */
    public static final MethodDescriptor<byte[], byte[]> SIGN = method("Sign", MethodType.SERVER_STREAMING);
    /** Bidirectional: headers answer the first message, and every message is echoed. */
    public static final MethodDescriptor<byte[], byte[]> TALK = method("Talk", MethodType.BIDI_STREAMING);
    /** Identifies a call over all its attempts, for checking the attempt rules; set by the clients of a test. */
    public static final Metadata.Key<String> CALL = Metadata.Key.of("call", Metadata.ASCII_STRING_MARSHALLER);
    /** The retry delay that a server states when it rejects a call. */
    public static final Metadata.Key<String> PUSHBACK =
            Metadata.Key.of("grpc-retry-pushback-ms", Metadata.ASCII_STRING_MARSHALLER);

    private final String name;
    private final Processor processor;
    private final Scheduler time;
    private final Executor executor;
    private final Duration holdTime;
    private final AttemptRuleChecker rules;
    private long lastId;
    private Status finalStatus = Status.OK;

    /**
     * Creates a front end of a processor.
     *
     * @param executor runs tasks one at a time, those of the processor's timers included
     * @param holdTime how long an established stream lasts
     * @param rules checks the attempt rules, or null for no checks
     */
    public GrpcSessionServer(String name, Processor processor, Scheduler time, Executor executor, Duration holdTime,
            AttemptRuleChecker rules) {
        this.name = name;
        this.processor = processor;
        this.time = time;
        this.executor = executor;
        this.holdTime = holdTime;
        this.rules = rules;
    }

    /** Ends calls with this status from now on instead of establishing them; OK restores the normal behaviour. */
    public void endCallsWith(Status status) {
        finalStatus = status;
    }

    /** Returns the service definition to add to a gRPC server. */
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

    /** A single call at this server. */
    private final class Session extends ServerCall.Listener<byte[]> implements Processor.Client {

        private final ServerCall<byte[], byte[]> call;
        private final String key;
        private final boolean isServerStream;
        private String id;
        private byte[] request;
        private final List<byte[]> unsentMessages = new ArrayList<>();
        private boolean isEstablished;
        private boolean isOver;

        Session(ServerCall<byte[], byte[]> call, String key, boolean stream) {
            this.call = call;
            this.key = key;
            this.isServerStream = stream;
        }

        @Override
        public void onMessage(byte[] message) {
            request = message;
            if (isBidirectional()) {
                call.request(1);
                executor.execute(() -> {
                    unsentMessages.add(message);
                    if (id == null) {
                        submitRequest();
                    }
                    echoMessages();
                });
            }
        }

        private boolean isBidirectional() {
            return call.getMethodDescriptor().getType() == MethodType.BIDI_STREAMING;
        }

        private void echoMessages() {
            if (isEstablished && !isOver) {
                unsentMessages.forEach(call::sendMessage);
                unsentMessages.clear();
            }
        }

        private void submitRequest() {
            id = name + "-" + ++lastId;
            if (rules != null && key != null) {
                rules.sent(key, name, nowMs());
            }
            processor.requestReceived(id, this);
        }

        @Override
        public void onHalfClose() {
            if (!isBidirectional()) {
                executor.execute(this::submitRequest);
                return;
            }
            executor.execute(() -> {
                if (isEstablished) {
                    processor.released(id);
                    close(Status.OK, new Metadata(), false);
                }
            });
        }

        @Override
        public void onCancel() {
            executor.execute(() -> {
                if (!isOver) {
                    over(true);
                    processor.released(id);
                }
            });
        }

        private void over(boolean isLost) {
            isOver = true;
            if (rules != null && key != null) {
                rules.ended(key, isLost, nowMs());
            }
        }

        private double nowMs() {
            return pathlane.config.Millis.of(time.now());
        }

        private void close(Status status, Metadata trailers, boolean isLost) {
            if (!isOver) {
                over(isLost);
                call.close(status, trailers);
            }
        }

        @Override
        public void answered() {
            if (isOver) {
                return;
            }
            if (!finalStatus.isOk()) {
                processor.released(id);
                close(finalStatus, new Metadata(), false);
                return;
            }
            isEstablished = true;
            call.sendHeaders(new Metadata());
            if (isBidirectional()) {
                time.after(Duration.ofMillis(100), this::echoMessages);   // sends the headers alone first
                return;
            }
            call.sendMessage(request);
            if (isServerStream) {
                time.after(holdTime, () -> {
                    processor.released(id);
                    close(Status.OK, new Metadata(), false);
                });
            } else {
                processor.released(id);
                close(Status.OK, new Metadata(), false);
            }
        }

        @Override
        public void rejected(Duration wait) {
            Metadata trailers = new Metadata();
            trailers.put(PUSHBACK, Long.toString(wait.toMillis()));
            close(Status.RESOURCE_EXHAUSTED.withDescription("processor full"), trailers, false);
        }

        @Override
        public void lost() {
            close(Status.UNAVAILABLE.withDescription("the server process stops"), new Metadata(), true);
        }
    }

    private static MethodDescriptor<byte[], byte[]> method(String method, MethodType type) {
        return MethodDescriptor.<byte[], byte[]>newBuilder().setType(type)
                .setFullMethodName(MethodDescriptor.generateFullMethodName(SERVICE, method))
                .setRequestMarshaller(Bytes.PLAIN).setResponseMarshaller(Bytes.PLAIN).build();
    }

    /** Passes messages through as raw bytes. */
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
