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
import pathlane.wire.ProtocolException;

/**
 * An event of the event bus: the list of session servers or changes to it.
 *
 * @param isComplete true for the complete list, false for the changed entries alone
 * @param endpoints the entries, one for each server
 */
public record ServerList(boolean isComplete, List<ServerEndpoint> endpoints) {

    private static final int RECORD_BYTES = 27;
    private static final int ADDRESS_BYTES = 4;
    private static final double WEIGHT_SCALE = 1000;

    /** Decodes the server records that fill the rest of an event's frame. */
    static ServerList read(boolean isComplete, ByteBuffer records) {
        if (records.remaining() % RECORD_BYTES != 0) {
            throw new ProtocolException(
                    "server records of " + records.remaining() + " bytes are not a multiple of the record size");
        }
        List<ServerEndpoint> endpoints = new ArrayList<>();
        while (records.hasRemaining()) {
            long id = records.getInt() & 0xffffffffL;
            byte[] address = new byte[ADDRESS_BYTES];
            records.get(address);
            int port = records.getShort() & 0xffff;
            int state = records.get() & 0xff;
            if (state >= ServerStatus.values().length) {
                throw new ProtocolException("unknown server state " + state);
            }
            records.getShort();   // zone and kind, which are not used
            int pool = records.getShort() & 0xffff;
            double weight = (records.getInt() & 0xffffffffL) / WEIGHT_SCALE;
            long startedMillis = records.getLong();
            endpoints.add(new ServerEndpoint(id, socketAddress(address, port), ServerStatus.values()[state], pool, weight,
                    Instant.ofEpochMilli(startedMillis)));
        }
        return new ServerList(isComplete, endpoints);
    }

    /** The server's name in logs and reports: {@code s-} and the id as 8 hex digits. */
    public static String serverName(long id) {
        return String.format("s-%08x", id);
    }

    private static InetSocketAddress socketAddress(byte[] address, int port) {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(address), port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);   // can't happen: four bytes are always a valid address
        }
    }
}
