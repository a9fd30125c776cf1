package pathlane.discovery;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;
import pathlane.discovery.ServiceChange.Absent;
import pathlane.discovery.ServiceChange.Delta;
import pathlane.discovery.ServiceChange.Snapshot;
import pathlane.wire.ProtocolException;

/** Encodes and decodes a {@link ServiceChange} as MessagePack: its kind, then its fields in the order of its record. */
final class ServiceChangeCodec {

    private static final int SNAPSHOT = 1;
    private static final int DELTA = 2;
    private static final int ABSENT = 3;

    private static final int RUNNING = 0;
    private static final int DRAINING = 1;

    private static final int IPV4_BYTES = 4;
    private static final int IPV6_BYTES = 16;
    private static final int MAX_PORT = 0xffff;

    private ServiceChangeCodec() {}

    static void write(MessagePacker packer, ServiceChange change) throws IOException {
        if (change instanceof Snapshot snapshot) {
            packer.packInt(SNAPSHOT);
            write(packer, snapshot.state());
        } else if (change instanceof Delta delta) {
            packer.packInt(DELTA);
            write(packer, delta);
        } else {
            Absent absent = (Absent) change;
            packer.packInt(ABSENT).packString(absent.service());
            WatchFields.write(packer, absent.revision());
        }
    }

    static ServiceChange read(MessageUnpacker unpacker) throws IOException {
        int kind = unpacker.unpackInt();
        return switch (kind) {
            case SNAPSHOT -> new Snapshot(state(unpacker));
            case DELTA -> delta(unpacker);
            case ABSENT -> new Absent(WatchFields.service(unpacker), WatchFields.revision(unpacker));
            default -> throw new ProtocolException("unknown kind of change: " + kind);
        };
    }

    private static void write(MessagePacker packer, ServiceState state) throws IOException {
        packer.packString(state.service());
        WatchFields.write(packer, state.revision());
        packer.packLong(state.digest());
        WatchFields.writeList(packer, state.endpoints(), ServiceChangeCodec::writeEndpoint);
        packer.packString(state.configuration());
    }

    private static ServiceState state(MessageUnpacker unpacker) throws IOException {
        return new ServiceState(WatchFields.service(unpacker), WatchFields.revision(unpacker), unpacker.unpackLong(),
                WatchFields.list(unpacker, ServiceChangeCodec::endpoint), unpacker.unpackString());
    }

    private static void write(MessagePacker packer, Delta delta) throws IOException {
        packer.packString(delta.service());
        WatchFields.write(packer, delta.from());
        WatchFields.write(packer, delta.revision());
        packer.packLong(delta.digest());
        WatchFields.writeList(packer, delta.upserted(), ServiceChangeCodec::writeEndpoint);
        WatchFields.writeList(packer, delta.removed(), MessagePacker::packLong);
        if (delta.configuration().isPresent()) {
            packer.packString(delta.configuration().get());
        } else {
            packer.packNil();
        }
    }

    private static Delta delta(MessageUnpacker unpacker) throws IOException {
        return new Delta(WatchFields.service(unpacker), WatchFields.revision(unpacker), WatchFields.revision(unpacker),
                unpacker.unpackLong(), WatchFields.list(unpacker, ServiceChangeCodec::endpoint),
                WatchFields.list(unpacker, MessageUnpacker::unpackLong), optionalText(unpacker));
    }

    private static Optional<String> optionalText(MessageUnpacker unpacker) throws IOException {
        return unpacker.tryUnpackNil() ? Optional.empty() : Optional.of(unpacker.unpackString());
    }

    private static void writeEndpoint(MessagePacker packer, ServerEndpoint endpoint) throws IOException {
        packer.packLong(endpoint.id());
        writeAddress(packer, endpoint.address());
        packer.packInt(statusNumber(endpoint.status())).packInt(endpoint.pool());
        writeWeight(packer, endpoint.weight());
        packer.packTimestamp(endpoint.startedAt());
    }

    private static ServerEndpoint endpoint(MessageUnpacker unpacker) throws IOException {
        return new ServerEndpoint(unpacker.unpackLong(), address(unpacker), status(unpacker.unpackInt()),
                unpacker.unpackInt(),
                weight(unpacker.unpackDouble()), unpacker.unpackTimestamp());
    }

    private static void writeAddress(MessagePacker packer, InetSocketAddress address) throws IOException {
        if (address.isUnresolved()) {
            packer.packString(address.getHostString());
        } else {
            byte[] bytes = address.getAddress().getAddress();
            packer.packBinaryHeader(bytes.length).writePayload(bytes);
        }
        packer.packInt(address.getPort());
    }

    private static InetSocketAddress address(MessageUnpacker unpacker) throws IOException {
        if (unpacker.getNextFormat().getValueType() == ValueType.STRING) {
            String host = WatchFields.name(unpacker);
            return InetSocketAddress.createUnresolved(host, port(unpacker));
        }
        int length = unpacker.unpackBinaryHeader();
        if (length != IPV4_BYTES && length != IPV6_BYTES) {
            throw new ProtocolException("invalid address of " + length + " bytes");
        }
        return new InetSocketAddress(internetAddress(unpacker.readPayload(length)), port(unpacker));
    }

    private static InetAddress internetAddress(byte[] bytes) {
        try {
            return InetAddress.getByAddress(bytes);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);   // can't happen: the length was checked
        }
    }

    private static int port(MessageUnpacker unpacker) throws IOException {
        int port = unpacker.unpackInt();
        if (port < 0 || port > MAX_PORT) {
            throw new ProtocolException("invalid port " + port);
        }
        return port;
    }

    private static int statusNumber(ServerStatus status) {
        return switch (status) {
            case RUNNING -> RUNNING;
            case DRAINING -> DRAINING;
            case GONE -> throw new IllegalArgumentException("an endpoint that is GONE must be sent as removed");
        };
    }

    private static ServerStatus status(int number) {
        return switch (number) {
            case RUNNING -> ServerStatus.RUNNING;
            case DRAINING -> ServerStatus.DRAINING;
            default -> throw new ProtocolException("unknown endpoint state " + number);
        };
    }

    /** Weights that a float represents exactly, usually small numbers, take four bytes instead of eight. */
    private static void writeWeight(MessagePacker packer, double weight) throws IOException {
        if ((float) weight == weight) {
            packer.packFloat((float) weight);
        } else {
            packer.packDouble(weight);
        }
    }

    private static double weight(double weight) {
        if (!CatalogueLimits.isValidWeight(weight)) {
            throw new ProtocolException("invalid weight " + weight);
        }
        return weight;
    }
}
