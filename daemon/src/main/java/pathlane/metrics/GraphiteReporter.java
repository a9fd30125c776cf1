package pathlane.metrics;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import pathlane.config.file.GraphiteConfig;
import pathlane.core.CloseReason;
import pathlane.core.Counters;
import pathlane.core.Scheduler;
import pathlane.transport.Connection;
import pathlane.transport.Connector;
import pathlane.transport.Protocol;

/**
 * Reports the counters to Graphite in its plaintext protocol: every interval a line {@code prefix.name value time}
 * for each, over one connection. Nothing is buffered while the connection is down: counters only grow, and the next
 * report has their full values.
 */
public final class GraphiteReporter {

    private static final Logger LOG = System.getLogger("graphite");
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    private final GraphiteConfig config;
    private final Counters counters;
    private final Connector connector;
    private final Scheduler scheduler;
    private Session session;

    public GraphiteReporter(GraphiteConfig config, Counters counters, Connector connector, Scheduler scheduler) {
        this.config = config;
        this.counters = counters;
        this.connector = connector;
        this.scheduler = scheduler;
    }

    /** Reports immediately and then every interval. */
    public void start() {
        if (session == null) {
            session = new Session();
            connector.connect(config.address(), CONNECT_TIMEOUT, session);
        } else if (session.connection != null) {
            session.connection.write(formatCounters().getBytes(StandardCharsets.UTF_8));
        }
        scheduler.after(config.interval(), this::start);
    }

    private String formatCounters() {
        StringBuilder lines = new StringBuilder();
        for (Counters.Name name : Counters.Name.values()) {
            lines.append(config.prefix()).append('.').append(name.exportedName()).append(' ')
                    .append(counters.value(name)).append(' ').append(scheduler.now().getEpochSecond()).append('\n');
        }
        return lines.toString();
    }

    private final class Session implements Protocol {

        private Connection connection;

        @Override
        public void opened(Connection opened) {
            connection = opened;
            LOG.log(Level.INFO, "graphite at {0} is connected", opened.remote());
            opened.write(formatCounters().getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void received(ByteBuffer bytes) {
            bytes.position(bytes.limit());   // the protocol has no answers
        }

        @Override
        public void closed(CloseReason reason) {
            session = null;
            if (connection != null) {
                LOG.log(Level.WARNING, "graphite connection lost: {0}; reconnecting at the next interval", reason);
            }
        }
    }
}
