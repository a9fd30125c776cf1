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
import pathlane.wire.BadInput;
import pathlane.wire.FrameAssembler;

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
    private static final int LONGEST = 4 << 20;
    private static final int LONGEST_OPENING = 512;
    private static final String ALGORITHM = "HmacSHA256";
    private static final Duration OPENING = Duration.ofSeconds(2);

    /** Receives the authenticated payloads of a link. */
    public interface Listener {
        /** The peer has proven that it holds a shared key; the name is the one that it claims. */
        void authenticated(AuthenticatedLink link, String name);

        /** @throws BadInput if the payload is malformed; the connection is then closed */
        void received(byte[] payload);

        /** The connection is closed or was never established; the last notification, sent once. */
        void closed(CloseReason end);
    }

    /**
     * The context that all links of a process share.
     *
     * @param keys read at each handshake, so that reloaded keys apply to new connections
     * @param random supplies nonces of 16 bytes, each of them new
     */
    public record Context(String name, Supplier<KeyRing> keys, Supplier<byte[]> random, Scheduler scheduler,
            RateLimitedLog log) {}

    private final AuthenticatedLink.Context common;
    private final boolean dialled;
    private final AuthenticatedLink.Listener upper;
    private final FrameAssembler assembler = new FrameAssembler(LENGTH_BYTES, 0, LONGEST);
    private Connection connection;
    private Scheduler.Timer opening;
    private byte[] ownOpening;
    private byte[] otherOpening;
    private String otherName;
    private Mac signs;
    private Mac checks;
    private long written;
    private long read;
    private boolean proven;
    private boolean ended;

    /**
     * Creates a link that is not connected yet.
     *
     * @param dialled whether this side connects; it goes into each MAC, so that no frame can be reflected to its sender
     */
    public AuthenticatedLink(AuthenticatedLink.Context common, boolean dialled, AuthenticatedLink.Listener upper) {
        this.common = common;
        this.dialled = dialled;
        this.upper = upper;
    }

    @Override
    public void opened(Connection up) {
        connection = up;
        KeyRing.Key key = common.keys().get().signingKey();
        byte[] keyName = key.name().getBytes(StandardCharsets.UTF_8);
        byte[] name = common.name().getBytes(StandardCharsets.UTF_8);
        ownOpening = ByteBuffer.allocate(MAGIC.length + 1 + keyName.length + 1 + name.length + NONCE_BYTES).put(MAGIC)
                .put((byte) keyName.length).put(keyName).put((byte) name.length).put(name).put(common.random().get())
                .array();
        signs = mac(key.secret());
        connection.write(ByteBuffer.allocate(LENGTH_BYTES + ownOpening.length).putInt(ownOpening.length).put(ownOpening)
                .array());
        opening = common.scheduler().after(OPENING, () -> close(CloseReason.UNFINISHED));
    }

    private static Mac mac(byte[] secret) {
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
            assembler.feed(bytes, this::frame);
        } catch (BadInput e) {
            common.log().warn("{0} closed: {1}", otherName == null ? connection.remote() : otherName, e.getMessage());
            bytes.position(bytes.limit());
            close(CloseReason.PROTOCOL_ERROR);
        }
    }

    private void frame(ByteBuffer frame) {
        if (ended) {
            return;
        }
        byte[] bytes = new byte[frame.remaining()];
        frame.get(bytes);
        if (otherOpening == null) {
            opening(bytes);
            return;
        }
        if (bytes.length < MAC_BYTES) {
            throw new BadInput("frame too short to hold a MAC");
        }
        int size = bytes.length - MAC_BYTES;
        byte[] expected = sign(checks, otherOpening, ownOpening, !dialled, read++, bytes, size);
        if (!MessageDigest.isEqual(expected, Arrays.copyOfRange(bytes, size, bytes.length))) {
            throw new BadInput(proven ? "MAC mismatch: frame forged, altered or out of order"
                    : "MAC mismatch: the peer does not hold the key that it names");
        }
        if (!proven) {
            proven = true;
            opening.cancel();
            upper.authenticated(this, otherName);
        } else {
            upper.received(Arrays.copyOf(bytes, size));
        }
    }

    private void opening(byte[] bytes) {
        ByteBuffer read = ByteBuffer.wrap(bytes);
        byte[] magic = new byte[MAGIC.length];
        if (bytes.length > LONGEST_OPENING || bytes.length < MAGIC.length + 2 + NONCE_BYTES) {
            throw new BadInput("handshake frame of invalid length");
        }
        read.get(magic);
        if (!Arrays.equals(magic, MAGIC)) {
            throw new BadInput("unknown protocol or protocol version");
        }
        String key = text(read);
        otherName = text(read);
        if (read.remaining() != NONCE_BYTES) {
            throw new BadInput("handshake frame with a nonce of invalid length");
        }
        byte[] secret = common.keys().get().find(key);
        if (secret == null) {
            throw new BadInput("key '" + key + "' is not in the key file");
        }
        otherOpening = bytes;
        checks = mac(secret);
        send(new byte[0]);   // proves that this side holds the key
    }

    private static String text(ByteBuffer from) {
        byte[] text = new byte[from.get() & 0xff];
        if (text.length > from.remaining()) {
            throw new BadInput("truncated handshake frame");
        }
        from.get(text);
        return new String(text, StandardCharsets.UTF_8);
    }

    private static byte[] sign(Mac mac, byte[] signer, byte[] other, boolean bySideThatDialled, long number,
            byte[] payload, int size) {
        mac.update((byte) (bySideThatDialled ? 1 : 0));
        mac.update(signer);
        mac.update(other);
        mac.update(ByteBuffer.allocate(Long.BYTES).putLong(number).array());
        mac.update(payload, 0, size);
        return Arrays.copyOf(mac.doFinal(), MAC_BYTES);
    }

    /** Whether the peer is authenticated and the link is open. */
    public boolean isAuthenticated() {
        return proven && !ended;
    }

    /** Sends a payload with its MAC. */
    public void send(byte[] payload) {
        if (ended) {
            return;
        }
        byte[] mac = sign(signs, ownOpening, otherOpening, dialled, written++, payload, payload.length);
        connection.write(ByteBuffer.allocate(LENGTH_BYTES + payload.length + MAC_BYTES)
                .putInt(payload.length + MAC_BYTES).put(payload).put(mac).array());
    }

    /** Whether the peer has stopped reading. */
    public boolean isBlocked() {
        return connection != null && connection.isBlocked();
    }

    /** Closes the link; {@link AuthenticatedLink.Listener#closed} follows. */
    public void close(CloseReason why) {
        ended = true;
        if (opening != null) {
            opening.cancel();
        }
        if (connection != null) {
            connection.close(why);
        }
    }

    @Override
    public void closed(CloseReason end) {
        ended = true;
        if (opening != null) {
            opening.cancel();
        }
        upper.closed(end);
    }
}
