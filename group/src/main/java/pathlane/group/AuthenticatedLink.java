package pathlane.group;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.Arrays;
import java.util.function.Supplier;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.transport.Connection;
import pathlane.transport.Protocol;
import pathlane.transport.RateLimitedLog;
import pathlane.wire.FrameAssembler;
import pathlane.wire.ProtocolException;

/**
 * An authenticated connection between members of a group. Each frame carries a MAC under a shared key (HMAC-SHA-256, RFC
 * 2104, truncated to 16 bytes) over the handshake frames of both sides and the frame's sequence number, so that no frame can
 * be forged, altered, dropped or replayed, on this connection or another. A state machine that is fed bytes, confined to the
 * event loop's thread.
 *
 * <p>A frame is length:4 payload mac:16, big-endian. Each side begins with a handshake frame without a MAC that holds
 * "PLG1", the name of its key, its own name and a random nonce of 16 bytes, and then sends an empty frame with a MAC.
 * Nothing reaches the listener before that MAC is verified.
 */
public final class AuthenticatedLink implements Protocol {

    private static final byte[] MAGIC = {'P', 'L', 'G', '1'};
    private static final int LENGTH_BYTES = 4;
    private static final int MAC_BYTES = 16;
    private static final int NONCE_BYTES = 16;
    /** Large enough for the records of a shard with tens of thousands of calls. */
    private static final int MAX_FRAME_BYTES = 4 << 20;
    private static final int MAX_HANDSHAKE_BYTES = 512;
    private static final String ALGORITHM = "HmacSHA256";
    private static final Duration HANDSHAKE_TIMEOUT = Duration.ofSeconds(2);

    /** Receives the authenticated payloads of a link. */
    public interface Listener {
        /** The peer has proven that it holds a shared key; the name is the one that it claims. */
        void authenticated(AuthenticatedLink link, String name);

        /** @throws ProtocolException if the payload is malformed; the connection is then closed */
        void received(byte[] payload);

        /** The connection is closed or was never established; the last notification, sent once. */
        void closed(CloseReason reason);
    }

    /**
     * The context that all links of a process share.
     *
     * @param keys read at each handshake, so that reloaded keys apply to new connections
     * @param nonces supplies nonces of 16 bytes, each of them new
     */
    public record Context(String name, Supplier<KeyRing> keys, Supplier<byte[]> nonces, Scheduler scheduler,
            RateLimitedLog log) {}

    private final AuthenticatedLink.Context context;
    private final boolean isInitiator;
    private final AuthenticatedLink.Listener listener;
    private final FrameAssembler assembler = new FrameAssembler(LENGTH_BYTES, 0, MAX_FRAME_BYTES);
    private Connection connection;
    private Scheduler.Timer handshakeTimer;
    private byte[] localHandshake;
    private byte[] remoteHandshake;
    private String remoteName;
    private Mac signingMac;
    private Mac verifyingMac;
    private long framesSent;
    private long framesReceived;
    private boolean isPeerVerified;
    private boolean isClosed;

    /**
     * Creates a link that is not connected yet.
     *
     * @param isInitiator whether this side connects; it goes into each MAC, so that no frame can be reflected to its sender
     */
    public AuthenticatedLink(AuthenticatedLink.Context context, boolean isInitiator, AuthenticatedLink.Listener listener) {
        this.context = context;
        this.isInitiator = isInitiator;
        this.listener = listener;
    }

    @Override
    public void opened(Connection openedConnection) {
        connection = openedConnection;
        KeyRing.Key key = context.keys().get().signingKey();
        byte[] keyName = key.name().getBytes(StandardCharsets.UTF_8);
        byte[] name = context.name().getBytes(StandardCharsets.UTF_8);
        localHandshake = ByteBuffer.allocate(MAGIC.length + 1 + keyName.length + 1 + name.length + NONCE_BYTES).put(MAGIC)
                .put((byte) keyName.length).put(keyName).put((byte) name.length).put(name).put(context.nonces().get())
                .array();
        signingMac = createMac(key.secret());
        connection.write(
                ByteBuffer.allocate(LENGTH_BYTES + localHandshake.length).putInt(localHandshake.length).put(localHandshake)
                        .array());
        handshakeTimer = context.scheduler().after(HANDSHAKE_TIMEOUT, () -> close(CloseReason.UNFINISHED));
    }

    private static Mac createMac(byte[] secret) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(secret, ALGORITHM));
            return mac;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);   // can't happen: every JDK provides HmacSHA256
        }
    }

    @Override
    public void received(ByteBuffer bytes) {
        try {
            assembler.feed(bytes, this::handleFrame);
        } catch (ProtocolException e) {
            context.log().warn("{0} closed: {1}", remoteName == null ? connection.remote() : remoteName, e.getMessage());
            bytes.position(bytes.limit());
            close(CloseReason.PROTOCOL_ERROR);
        }
    }

    private void handleFrame(ByteBuffer frame) {
        if (isClosed) {
            return;
        }
        byte[] bytes = new byte[frame.remaining()];
        frame.get(bytes);
        if (remoteHandshake == null) {
            handleHandshake(bytes);
            return;
        }
        if (bytes.length < MAC_BYTES) {
            throw new ProtocolException("frame shorter than a MAC");
        }
        int payloadLength = bytes.length - MAC_BYTES;
        byte[] expected =
                sign(verifyingMac, remoteHandshake, localHandshake, !isInitiator, framesReceived++, bytes, payloadLength);
        if (!MessageDigest.isEqual(expected, Arrays.copyOfRange(bytes, payloadLength, bytes.length))) {
            throw new ProtocolException(isPeerVerified ? "MAC mismatch: frame forged, altered or out of order"
                    : "MAC mismatch: the peer lacks the key that it names");
        }
        if (!isPeerVerified) {
            isPeerVerified = true;
            handshakeTimer.cancel();
            listener.authenticated(this, remoteName);
        } else {
            listener.received(Arrays.copyOf(bytes, payloadLength));
        }
    }

    private void handleHandshake(byte[] bytes) {
        ByteBuffer handshake = ByteBuffer.wrap(bytes);
        byte[] magic = new byte[MAGIC.length];
        if (bytes.length > MAX_HANDSHAKE_BYTES || bytes.length < MAGIC.length + 2 + NONCE_BYTES) {
            throw new ProtocolException("handshake frame of invalid length");
        }
        handshake.get(magic);
        if (!Arrays.equals(magic, MAGIC)) {
            throw new ProtocolException("unknown protocol or protocol version");
        }
        String keyName = readString(handshake);
        remoteName = readString(handshake);
        if (handshake.remaining() != NONCE_BYTES) {
            throw new ProtocolException("handshake frame with trailing or missing bytes");
        }
        byte[] secret = context.keys().get().findSecret(keyName);
        if (secret == null) {
            throw new ProtocolException("key '" + keyName + "' is not in the key file");
        }
        remoteHandshake = bytes;
        verifyingMac = createMac(secret);
        send(new byte[0]);   // proves that this side holds the key
    }

    private static String readString(ByteBuffer handshake) {
        byte[] text = new byte[handshake.get() & 0xff];
        if (text.length > handshake.remaining()) {
            throw new ProtocolException("truncated handshake frame");
        }
        handshake.get(text);
        return new String(text, StandardCharsets.UTF_8);
    }

    private static byte[] sign(Mac mac, byte[] senderHandshake, byte[] receiverHandshake, boolean isSenderInitiator,
            long sequenceNumber, byte[] payload, int payloadLength) {
        mac.update((byte) (isSenderInitiator ? 1 : 0));
        mac.update(senderHandshake);
        mac.update(receiverHandshake);
        mac.update(ByteBuffer.allocate(Long.BYTES).putLong(sequenceNumber).array());
        mac.update(payload, 0, payloadLength);
        return Arrays.copyOf(mac.doFinal(), MAC_BYTES);
    }

    /** Whether the peer is authenticated and the link is open. */
    public boolean isAuthenticated() {
        return isPeerVerified && !isClosed;
    }

    /** Sends a payload with its MAC. */
    public void send(byte[] payload) {
        if (isClosed) {
            return;
        }
        byte[] mac = sign(signingMac, localHandshake, remoteHandshake, isInitiator, framesSent++, payload, payload.length);
        connection.write(ByteBuffer.allocate(LENGTH_BYTES + payload.length + MAC_BYTES)
                .putInt(payload.length + MAC_BYTES).put(payload).put(mac).array());
    }

    /** Whether the peer has stopped reading. */
    public boolean isBlocked() {
        return connection != null && connection.isBlocked();
    }

    /** Closes the link; {@link AuthenticatedLink.Listener#closed} follows. */
    public void close(CloseReason reason) {
        isClosed = true;
        if (handshakeTimer != null) {
            handshakeTimer.cancel();
        }
        if (connection != null) {
            connection.close(reason);
        }
    }

    @Override
    public void closed(CloseReason reason) {
        isClosed = true;
        if (handshakeTimer != null) {
            handshakeTimer.cancel();
        }
        listener.closed(reason);
    }
}
