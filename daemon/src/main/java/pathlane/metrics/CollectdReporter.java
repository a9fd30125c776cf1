package pathlane.metrics;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import pathlane.config.file.CollectdConfig;
import pathlane.core.Counters;
import pathlane.core.Scheduler;
import pathlane.transport.Datagrams;

/**
 * Reports the counters to collectd's network plugin in its binary protocol: every interval one value of type
 * {@code derive} for each, in self-contained datagrams. A lost datagram does no harm: counters only grow, and the next
 * report has their full values.
 */
public final class CollectdReporter {

    private static final int HOST = 0;
    private static final int TIME = 1;
    private static final int PLUGIN = 2;
    private static final int TYPE = 4;
    private static final int TYPE_INSTANCE = 5;
    private static final int VALUES = 6;
    private static final int INTERVAL = 7;
    private static final int PART_HEADER_BYTES = 4;
    private static final int DERIVE = 2;
    /** Maximum datagram size of collectd's own network plugin, so that a datagram fits an Ethernet frame. */
    private static final int MAX_DATAGRAM_BYTES = 1452;

    private final CollectdConfig config;
    private final String host;
    private final Counters counters;
    private final Datagrams datagrams;
    private final Scheduler scheduler;

    /** {@code host} is the host name under which collectd stores the values. */
    public CollectdReporter(CollectdConfig config, String host, Counters counters, Datagrams datagrams,
            Scheduler scheduler) {
        this.config = config;
        this.host = host;
        this.counters = counters;
        this.datagrams = datagrams;
        this.scheduler = scheduler;
    }

    /** Reports immediately and then every interval. */
    public void start() {
        byte[] header = header();
        ByteArrayOutputStream datagram = new ByteArrayOutputStream();
        datagram.writeBytes(header);
        for (Counters.Name name : Counters.Name.values()) {
            byte[] value = value(name);
            if (datagram.size() + value.length > MAX_DATAGRAM_BYTES) {
                datagrams.send(config.address(), datagram.toByteArray());
                datagram.reset();
                datagram.writeBytes(header);
            }
            datagram.writeBytes(value);
        }
        datagrams.send(config.address(), datagram.toByteArray());
        scheduler.after(config.interval(), this::start);
    }

    /** The parts that apply to all values of a datagram. */
    private byte[] header() {
        ByteArrayOutputStream header = new ByteArrayOutputStream();
        header.writeBytes(text(HOST, host));
        header.writeBytes(number(TIME, scheduler.now().getEpochSecond()));
        header.writeBytes(number(INTERVAL, Math.max(1, config.interval().toSeconds())));
        header.writeBytes(text(PLUGIN, "pathlane"));
        header.writeBytes(text(TYPE, "derive"));
        return header.toByteArray();
    }

    private byte[] value(Counters.Name name) {
        byte[] instance = text(TYPE_INSTANCE, name.exportedName());
        int length = PART_HEADER_BYTES + Short.BYTES + 1 + Long.BYTES;
        return ByteBuffer.allocate(instance.length + length).put(instance).putShort((short) VALUES)
                .putShort((short) length).putShort((short) 1).put((byte) DERIVE).putLong(counters.value(name)).array();
    }

    private static byte[] text(int part, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int length = PART_HEADER_BYTES + bytes.length + 1;   // a string ends with a zero byte
        return ByteBuffer.allocate(length).putShort((short) part).putShort((short) length).put(bytes).array();
    }

    private static byte[] number(int part, long number) {
        int length = PART_HEADER_BYTES + Long.BYTES;
        return ByteBuffer.allocate(length).putShort((short) part).putShort((short) length).putLong(number).array();
    }
}
