package pathlane.metrics;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import pathlane.config.file.CollectdConfig;
import pathlane.core.Counters;
import pathlane.core.Scheduler;
import pathlane.transport.Datagrams;

/**
 * Tells the counters to collectd's network plugin in its binary protocol: every interval one value of type
 * {@code derive} for each, in datagrams that stand for themselves. A lost one loses nothing: counters only grow.
 */
public final class CollectdReporter {

    private static final int HOST = 0;
    private static final int TIME = 1;
    private static final int PLUGIN = 2;
    private static final int TYPE = 4;
    private static final int TYPE_INSTANCE = 5;
    private static final int VALUES = 6;
    private static final int INTERVAL = 7;
    private static final int PART_HEAD = 4;
    private static final int DERIVE = 2;
    /** What collectd's own network plugin sends at most, so that a datagram fits an Ethernet frame. */
    private static final int LONGEST = 1452;

    private final CollectdConfig config;
    private final String host;
    private final Counters counters;
    private final Datagrams datagrams;
    private final Scheduler scheduler;

    /** {@code host} is the name under which collectd files the values. */
    public CollectdReporter(CollectdConfig config, String host, Counters counters, Datagrams datagrams,
            Scheduler scheduler) {
        this.config = config;
        this.host = host;
        this.counters = counters;
        this.datagrams = datagrams;
        this.scheduler = scheduler;
    }

    /** Starts to tell, at once and then every interval. */
    public void start() {
        byte[] head = head();
        ByteArrayOutputStream datagram = new ByteArrayOutputStream();
        datagram.writeBytes(head);
        for (Counters.Name name : Counters.Name.values()) {
            byte[] value = value(name);
            if (datagram.size() + value.length > LONGEST) {
                datagrams.send(config.address(), datagram.toByteArray());
                datagram.reset();
                datagram.writeBytes(head);
            }
            datagram.writeBytes(value);
        }
        datagrams.send(config.address(), datagram.toByteArray());
        scheduler.after(config.interval(), this::start);
    }

    /** What holds for all values of a datagram. */
    private byte[] head() {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        head.writeBytes(text(HOST, host));
        head.writeBytes(number(TIME, scheduler.now().getEpochSecond()));
        head.writeBytes(number(INTERVAL, Math.max(1, config.interval().toSeconds())));
        head.writeBytes(text(PLUGIN, "pathlane"));
        head.writeBytes(text(TYPE, "derive"));
        return head.toByteArray();
    }

    private byte[] value(Counters.Name name) {
        byte[] instance = text(TYPE_INSTANCE, name.exportedName());
        int length = PART_HEAD + Short.BYTES + 1 + Long.BYTES;
        return ByteBuffer.allocate(instance.length + length).put(instance).putShort((short) VALUES)
                .putShort((short) length).putShort((short) 1).put((byte) DERIVE).putLong(counters.value(name)).array();
    }

    private static byte[] text(int part, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int length = PART_HEAD + bytes.length + 1;   // a text ends with a nought
        return ByteBuffer.allocate(length).putShort((short) part).putShort((short) length).put(bytes).array();
    }

    private static byte[] number(int part, long number) {
        int length = PART_HEAD + Long.BYTES;
        return ByteBuffer.allocate(length).putShort((short) part).putShort((short) length).putLong(number).array();
    }
}
