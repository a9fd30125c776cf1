package pathlane.platform;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import pathlane.config.Settings;
import pathlane.core.CallController;
import pathlane.core.ConnectionEnd;
import pathlane.core.Scheduler;
import pathlane.core.ServerLine;
import pathlane.core.ServerPort;
import pathlane.core.SetUp;
import pathlane.decision.Gateway.Ending;
import pathlane.link.Connection;
import pathlane.link.Dialer;
import pathlane.link.Protocol;

/**
 * The way to one session server: one connection that many calls share, dialled when the server is first
 * listed and again when it is needed.
 */
public final class ServerLink implements ServerPort {

    private static final Logger LOG = System.getLogger("servers");
    /** An idle connection is closed here at this part of the time after which the other side closes it. */
    private static final int IDLE_PERCENT = 90;
    private static final Duration REDIAL_FIRST = Duration.ofMillis(100);
    private static final Duration REDIAL_MOST = Duration.ofSeconds(1);
    /** A server tells its free lines each second; after so long without a word its connection may be dead. */
    private static final Duration MOST_SILENCE = Duration.ofSeconds(4);
    /** Dials in vain after which a silent server's calls count as cut: they can't be released any more. */
    private static final int VAIN_DIALS = 2;

    private final ServerLine server;
    private final String name;
    private final Settings settings;
    private final Supplier<CallController> controller;
    private final Dialer dialer;
    private final Scheduler scheduler;
    /** Set-ups and releases that wait for the connection. */
    private final Map<String, byte[]> waitingSetUps = new LinkedHashMap<>();
    private final Map<String, byte[]> waitingReleases = new LinkedHashMap<>();
    /** Set-ups written and not yet at an end. */
    private final Set<String> out = new LinkedHashSet<>();
    private final Duration idleAfter;
    private Duration redial = REDIAL_FIRST;
    private Session session;
    private boolean closed;
    /** Dials in vain since the server was last heard. */
    private int vainDials;
    /** A server that drains tells no lines and takes no connections any more, and its calls go on all the same. */
    private boolean draining;
    /** Whether the last connection that was up broke, as it does when a process dies. */
    private boolean broke;

    /** The controller is asked for late: it makes its ports itself. */
    public ServerLink(ServerLine server, Settings settings, Supplier<CallController> controller, Dialer dialer,
                      Scheduler scheduler) {
        this.server = server;
        this.name = serverName(server.id());
        this.idleAfter = settings.idleClose().multipliedBy(IDLE_PERCENT).dividedBy(100);
        this.settings = settings;
        this.controller = controller;
        this.dialer = dialer;
        this.scheduler = scheduler;
        dial();
    }

    /** How ids of session servers stand in text. */
    public static String serverName(long id) {
        return String.format("s-%08x", id);
    }

    private void dial() {
        if (session == null && !closed) {
            session = new Session();
            dialer.dial(server.address(), settings.dialTimeout(), session);
        }
    }

    private boolean up() {
        return session != null && session.connection != null;
    }

    @Override
    public void setUp(SetUp setUp, Duration patience, boolean mayHaveRun) {
        draining = false;   // nothing new comes here while it drains
        byte[] bytes = new Message(Message.SET_UP, setUp.id())
                .with(Message.CLASS, settings.classes().get(setUp.callClass()).name())
                .with(Message.PATIENCE, Long.toString(Math.max(1, patience.toMillis())))
                .with(Message.NUMBER, setUp.number())
                .with(Message.DESCRIPTION, setUp.description()).bytes();
        if (up()) {
            out.add(setUp.id());
            session.write(bytes);
        } else {
            waitingSetUps.put(setUp.id(), bytes);
            dial();
        }
    }

    @Override
    public void giveUp(String call) {
        if (waitingSetUps.remove(call) == null && out.remove(call) && up()) {
            session.write(new Message(Message.RELEASE, call).withCause(Cause.OVER).bytes());
        }
    }

    @Override
    public void release(String call, Ending how, byte[] content) {
        byte[] bytes = new Message(Message.RELEASE, call).withCause(Cause.ofRelease(how)).bytes();
        if (up()) {
            session.write(bytes);
        } else {
            waitingReleases.put(call, bytes);
            dial();
        }
    }

    @Override
    public void drain() {
        draining = true;
        endWaiting();
    }

    /** What never left is free to go elsewhere at once. */
    private void endWaiting() {
        List<String> ended = List.copyOf(waitingSetUps.keySet());
        waitingSetUps.clear();
        ended.forEach(call -> controller.get().released(server.id(), call, Ending.UNREACHABLE,
                Duration.ZERO));
    }

    @Override
    public void close() {
        closed = true;
        waitingReleases.clear();
        if (up()) {
            session.connection.close(ConnectionEnd.DELISTED);
        }
        endAll(ConnectionEnd.DELISTED);
    }

    private void endAll(ConnectionEnd end) {
        endWaiting();
        List<String> broken = List.copyOf(out);
        out.clear();
        broken.forEach(call -> controller.get().released(server.id(), call, end.outcome(),
                Duration.ZERO));
    }

    /** One connection to the server. */
    private final class Session implements Protocol {

        private final FrameAssembler assembler = Message.assembler();
        private Connection connection;
        private Instant used;
        private Instant heard;
        private boolean tellsLines;

        @Override
        public void opened(Connection up) {
            if (closed) {
                up.close(ConnectionEnd.DELISTED);
                return;
            }
            connection = up;
            redial = REDIAL_FIRST;
            used = scheduler.now();
            heard = used;
            vainDials = 0;
            scheduler.after(idleAfter, this::closeIfIdle);
            scheduler.after(MOST_SILENCE, this::closeIfSilent);
            LOG.log(Level.INFO, "server {0} at {1} is up", name, up.remote());
            waitingReleases.values().forEach(up::write);
            waitingReleases.clear();
            out.addAll(waitingSetUps.keySet());
            waitingSetUps.values().forEach(up::write);
            waitingSetUps.clear();
        }

        /** Guards against set-ups that cross the other side's close of a connection that idled too long. */
        private void closeIfIdle() {
            if (session != this) {
                return;
            }
            Duration left = Duration.between(scheduler.now(), used.plus(idleAfter));
            if (left.compareTo(Duration.ZERO) > 0 || !out.isEmpty()) {
                scheduler.after(left.compareTo(REDIAL_MOST) > 0 ? left : REDIAL_MOST, this::closeIfIdle);
            } else {
                connection.close(ConnectionEnd.IDLE);
            }
        }

        /**
         * Guards against calls left standing, and set-ups sent in vain, at a machine that vanished: it gives no
         * sign, and its connection stays open. A new connection shows whether it is there.
         */
        private void closeIfSilent() {
            if (session != this) {
                return;
            }
            Duration left = Duration.between(scheduler.now(), heard.plus(MOST_SILENCE));
            if (left.compareTo(Duration.ZERO) > 0) {
                scheduler.after(left, this::closeIfSilent);
            } else if (tellsLines && !draining) {
                connection.close(ConnectionEnd.SILENT);
            } else {
                scheduler.after(MOST_SILENCE, this::closeIfSilent);
            }
        }

        void write(byte[] bytes) {
            used = scheduler.now();
            connection.write(bytes);
        }

        @Override
        public void received(ByteBuffer bytes) {
            used = scheduler.now();
            heard = used;
            try {
                assembler.feed(bytes, frame -> message(Message.read(frame)));
            } catch (BadInput e) {
                LOG.log(Level.WARNING, "server {0} closed for bad input: {1}", name, e.getMessage());
                bytes.position(bytes.limit());
                connection.close(ConnectionEnd.BAD_INPUT);
            }
        }

        private void message(Message message) {
            String call = message.id();
            switch (message.type) {
                case Message.ANSWER -> {
                    out.remove(call);
                    byte[] description = message.value(Message.DESCRIPTION);
                    controller.get().answered(server.id(), call, description == null ? new byte[0] : description);
                }
                case Message.RELEASE -> {
                    // Read before the set-up is struck out: bad input must still end it with the connection.
                    Ending how = Cause.ending(message.cause(), message.text(Message.NOTE));
                    out.remove(call);
                    controller.get().released(server.id(), call, how, Duration.ZERO);
                }
                case Message.PROGRESS, Message.RELEASE_HEARD, Message.TEST_RESULT -> { }
                case Message.GROUP_STATE -> groupState(message);
                default -> throw new BadInput("a message of type " + message.type);
            }
        }

        /** A state such as {@code free:12;size:299}: the server's free lines and all its lines. */
        private void groupState(Message message) {
            tellsLines = true;
            double free = Double.NaN;
            double size = Double.NaN;
            for (String figure : message.text(Message.STATE).split(";")) {
                try {
                    if (figure.startsWith("free:")) {
                        free = Double.parseDouble(figure.substring("free:".length()));
                    } else if (figure.startsWith("size:")) {
                        size = Double.parseDouble(figure.substring("size:".length()));
                    }
                } catch (NumberFormatException e) {
                    throw new BadInput("a state '" + figure + "'");
                }
            }
            controller.get().linesTold(server.id(), free, size);
        }

        @Override
        public void closed(ConnectionEnd end) {
            session = session == this ? null : session;
            if (closed) {
                return;
            }
            LOG.log(Level.INFO, "server {0} is down: {1}", name, end);
            endAll(end);
            broke = connection != null ? end == ConnectionEnd.RESET : broke;
            vainDials += end == ConnectionEnd.DIAL_TIMED_OUT ? 1 : 0;
            if (end.provesProcessGone() && (!draining || broke) || vainDials >= VAIN_DIALS) {
                // Guards against calls that stood at a process that died: nobody is left to release them.
                controller.get().serverDied(server.id());
            }
            if (controller.get().standsAt(server.id()) || !waitingReleases.isEmpty()) {
                // What concerns standing calls may come on the next connection.
                scheduler.after(redial, ServerLink.this::dial);
                redial = redial.multipliedBy(2).compareTo(REDIAL_MOST) < 0 ? redial.multipliedBy(2) : REDIAL_MOST;
            }
        }
    }
}
