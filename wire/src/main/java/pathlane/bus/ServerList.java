package pathlane.bus;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;
import pathlane.wire.BadInput;

/**
 * An event of the list of session servers.
 *
 * @param whole whether the lines are the whole list, or what has changed
 */
public record ServerList(boolean whole, List<ServerEndpoint> lines) {

    private static final int RECORD = 27;
    private static final int ADDRESS = 4;
    private static final double THOUSAND = 1000;

    /** Reads the records that fill the rest of a frame. */
    static ServerList read(boolean whole, ByteBuffer records) {
        if (records.remaining() % RECORD != 0) {
            throw new BadInput("records of " + records.remaining() + " bytes together");
        }
        List<ServerEndpoint> lines = new ArrayList<>();
        while (records.hasRemaining()) {
            long id = records.getInt() & 0xffffffffL;
            byte[] address = new byte[ADDRESS];
            records.get(address);
            int port = records.getShort() & 0xffff;
            int state = records.get() & 0xff;
            if (state >= ServerStatus.values().length) {
                throw new BadInput("a server in state " + state);
            }
            records.getShort();   // zone and kind: nothing here depends on them
            int cell = records.getShort() & 0xffff;
            double weight = (records.getInt() & 0xffffffffL) / THOUSAND;
            long started = records.getLong();
            lines.add(new ServerEndpoint(id, socket(address, port), ServerStatus.values()[state], cell, weight,
                    Instant.ofEpochMilli(started)));
        }
        return new ServerList(whole, lines);
    }

    /** The server's id as every page and log writes it: {@code s-} and 8 hex digits. */
    public static String serverName(long id) {
        return String.format("s-%08x", id);
    }

    private static InetSocketAddress socket(byte[] address, int port) {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(address), port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);   // four bytes are always an address
        }
    }
}
