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
 * Tells the counters to Graphite in its plaintext protocol: every interval a line {@code prefix.name value time}
 * for each, over one connection. While that is down nothing is kept: counters only grow, and the next says all.
 */
public final class GraphiteReporter {

    private static final Logger LOG = System.getLogger("graphite");
    private static final Duration DIAL_TIMEOUT = Duration.ofSeconds(2);

    private final GraphiteConfig config;
    private final Counters counters;
    private final Connector dialer;
    private final Scheduler scheduler;
    private Session session;

    public GraphiteReporter(GraphiteConfig config, Counters counters, Connector dialer, Scheduler scheduler) {
        this.config = config;
        this.counters = counters;
        this.dialer = dialer;
        this.scheduler = scheduler;
    }

    /** Starts to tell, at once and then every interval. */
    public void start() {
        if (session == null) {
            session = new Session();
            dialer.connect(config.address(), DIAL_TIMEOUT, session);
        } else if (session.connection != null) {
            session.connection.write(lines().getBytes(StandardCharsets.UTF_8));
        }
        scheduler.after(config.interval(), this::start);
    }

    private String lines() {
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
        public void opened(Connection up) {
            connection = up;
            LOG.log(Level.INFO, "graphite at {0} is up", up.remote());
            up.write(lines().getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void received(ByteBuffer bytes) {
            bytes.position(bytes.limit());   // the protocol has no answers
        }

        @Override
        public void closed(CloseReason end) {
            session = null;
            if (connection != null) {
                LOG.log(Level.WARNING, "graphite is down: {0}; dialled again at the next interval", end);
            }
        }
    }
}
