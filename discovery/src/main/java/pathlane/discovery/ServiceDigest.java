package pathlane.discovery;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.net.InetSocketAddress;
import java.util.List;
import pathlane.core.ServerEndpoint;

/**
 * A digest of a service's content: the sum, modulo 2^64, of one hash per endpoint and one of the configuration. The sum is
 * independent of the order, and updating it costs only the parts changed. It detects faults, not forgery: the connections
 * are authenticated separately.
 */
public final class ServiceDigest {

    private static final Hasher64 HASH = Hashing.komihash5_0();
    /** Distinguishes the hashes of endpoints from those of configurations. */
    private static final byte ENDPOINT = 1;
    private static final byte CONFIGURATION = 2;

    private ServiceDigest() {}

    /** The digest of a service's complete content; the order of the endpoints does not matter. */
    public static long of(List<ServerEndpoint> endpoints, String configuration) {
        long digest = hash(configuration);
        for (ServerEndpoint endpoint : endpoints) {
            digest += hash(endpoint);
        }
        return digest;
    }

    /** The digest after adding an endpoint. */
    public static long with(long digest, ServerEndpoint added) {
        return digest + hash(added);
    }

    /** The digest after removing an endpoint that the content contained. */
    public static long without(long digest, ServerEndpoint removed) {
        return digest - hash(removed);
    }

    /** The digest after replacing the configuration. */
    public static long withConfiguration(long digest, String former, String configuration) {
        return digest - hash(former) + hash(configuration);
    }

    private static long hash(String configuration) {
        return HASH.hashStream().putByte(CONFIGURATION).putString(configuration).getAsLong();
    }

    private static long hash(ServerEndpoint endpoint) {
        HashStream64 stream = HASH.hashStream().putByte(ENDPOINT).putLong(endpoint.id());
        putAddress(stream, endpoint.address());
        return stream.putInt(endpoint.status().ordinal()).putInt(endpoint.pool()).putDouble(endpoint.weight())
                .putLong(endpoint.startedAt().getEpochSecond()).putInt(endpoint.startedAt().getNano()).getAsLong();
    }

    private static void putAddress(HashStream64 stream, InetSocketAddress address) {
        if (address.isUnresolved()) {
            stream.putString(address.getHostString());
        } else {
            stream.putByteArray(address.getAddress().getAddress());
        }
        stream.putInt(address.getPort());
    }
}
