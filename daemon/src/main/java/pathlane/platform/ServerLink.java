package pathlane.platform;

import java.lang.System.Logger.Level;
import java.lang.System.Logger;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import pathlane.bus.ServerList;
import pathlane.config.Settings;
import pathlane.config.file.ServerLimits;
import pathlane.core.CallController;
import pathlane.core.ConnectionEnd;
import pathlane.core.Scheduler;
import pathlane.core.ServerLine;
import pathlane.core.ServerPort;
import pathlane.core.SetUp;
import pathlane.decision.Gateway.Ending;
import pathlane.link.Admission;
import pathlane.link.Connection;
import pathlane.link.Dialer;
import pathlane.link.FrameDeadline;
import pathlane.link.Protocol;
import pathlane.wire.BadInput;
import pathlane.wire.Cause;
import pathlane.wire.FrameAssembler;
import pathlane.wire.Message;

/**
 * The way to one session server: a few connections that all calls share. All servers' connections share one number of
 * descriptors, so the first is dialled when the server is first listed only while there are many left, and else on
 * demand; the others when those that are up are busy. One that breaks, is spoilt or says nothing more costs only the
 * set-ups that are out on it.
 */
public final class ServerLink implements ServerPort {

    private static final Logger LOG = System.getLogger("servers");
    private static final byte[] NOTHING = {};
    /** An idle connection is closed here at this part of the time after which the other side closes it. */
    private static final int IDLE_PERCENT = 90;
    private static final Duration REDIAL_FIRST = Duration.ofMillis(100);
    private static final Duration REDIAL_MOST = Duration.ofSeconds(1);
    /** Longer than any connection without calls that stand is idle. */
    private static final Duration GIVES_WAY_LAST = Duration.ofDays(1);
    /** Dialled at listing only while less than this part of the descriptors for servers is held. */
    private static final int AHEAD_PART = 4;
    /** A connection that gave way is opened again after this, or up to half as much more: ends may wait there. */
    private static final Duration REJOIN = Duration.ofSeconds(3);
    /** A server that was not dialled at its listing is visited within so long: ends of older calls may wait there. */
    private static final Duration VISIT = Duration.ofSeconds(4);
    /** Servers that are listed later after the program's start are new to all. */
    private static final Duration STARTING = Duration.ofSeconds(5);
    /** So long after the program's start hardly any call from before it stands. */
    private static final Duration OLDER_CALLS = Duration.ofSeconds(30);
    private static final int RELEASES_AT_ONCE = 256;
    /** Dials in vain after which a silent server's calls count as cut: they can't be released any more. */
    private static final int VAIN_DIALS = 2;

    /**
     * What the ways to all session servers have in common.
     *
     * @param controller asked for late: it makes its ports itself
     * @param listCurrent whether the bus would have told by now if a server had begun to drain
     * @param connections the connections to all servers
     * @param lines how often servers tell their lines
     * @param random spreads what would come from a whole fleet at once
     * @param startedAt when the program started
     */
    public record Common(Settings settings, ServerLimits limits, Supplier<CallController> controller,
                         BooleanSupplier listCurrent, Dialer dialer, Scheduler scheduler, Admission connections,
                         LinesPeriod lines, SplittableRandom random, Instant startedAt) { }

    private final ServerLine server;
    private final String name;
    private final Settings settings;
    private final ServerLimits limits;
    private final Supplier<CallController> controller;
    private final BooleanSupplier listCurrent;
    private final Dialer dialer;
    private final Scheduler scheduler;
    private final Admission connections;
    private final LinesPeriod lines;
    private final SplittableRandom random;
    /** Set-ups and releases that wait for a connection. */
    private final Map<String, byte[]> waitingSetUps = new LinkedHashMap<>();
    private final Map<String, byte[]> waitingReleases = new LinkedHashMap<>();
    /** Connections that are dialled or up. */
    private final List<Session> sessions = new ArrayList<>();
    /** Where each set-up is out: written, and not yet at an end. */
    private final Map<String, Session> out = new HashMap<>();
    private final Duration idleAfter;
    private final Duration longestPatience;
    private Duration redial = REDIAL_FIRST;
    private Scheduler.Timer redialTimer;
    private Scheduler.Timer visitAnew;
    /** No further connection beside those that are up is dialled before this. */
    private Instant noMoreBefore = Instant.MIN;
    /** When the latest of the set-ups that the server has answered was sent. */
    private Instant answeredUpTo = Instant.MIN;
    private boolean closed;
    /** Dials in vain since the server was last heard. */
    private int vainDials;
    /** A server that drains tells no lines and takes no connections any more, and its calls go on all the same. */
    private boolean draining;
    /** Whether the server ended the last connection that was up, as it does when its process stops or dies. */
    private boolean leftByServer;
    /** Runs out once no connection to the server could be had for too long while calls stand there. */
    private Scheduler.Timer unreached;
    /** When the server last showed that it takes new set-ups: it told its lines, or took the only connection. */
    private Instant takingAt = Instant.MIN;
    private boolean everToldLines;
    private final Instant startedAt;

    /** Dials the server at once where there are descriptors for it, and visits it later where there are not. */
    public ServerLink(ServerLine server, Common common) {
        this.server = server;
        this.name = ServerList.serverName(server.id());
        this.idleAfter = common.settings.idleClose().multipliedBy(IDLE_PERCENT).dividedBy(100);
        this.settings = common.settings;
        this.longestPatience = settings.longestPatience();
        this.limits = common.limits;
        this.controller = common.controller;
        this.listCurrent = common.listCurrent;
        this.dialer = common.dialer;
        this.scheduler = common.scheduler;
        this.connections = common.connections;
        this.lines = common.lines;
        this.random = common.random;
        this.startedAt = common.startedAt;
        if (connections.isUnder(AHEAD_PART)) {
            dialOne();
        } else if (scheduler.now().isBefore(startedAt.plus(STARTING))) {
            redialTimer = scheduler.after(Duration.ofNanos(random.nextLong(VISIT.toNanos())), this::visit);
        }
    }

    /**
     * Guards calls from before the program's start: a server tells their ends on the next connection that it gets from
     * here, and the caller is owed them within 8 s. Spread, so that a start is no burst of hundreds of connections.
     */
    private void visit() {
        redialTimer = null;
        if (!closed && sessions.isEmpty()) {
            dial();
            if (sessions.isEmpty()) {
                redialTimer = scheduler.after(REDIAL_MOST, this::visit);   // no descriptor was left
            }
        }
    }

    /** Dials where nothing is up or dialled; a connection that is being closed is neither. */
    private void dial() {
        if (!closed && sessions.stream().allMatch(session -> session.ending)) {
            dialOne();
        }
    }

    private void dialOne() {
        Session session = new Session();
        if (connections.admit(session, session::giveWay)) {
            sessions.add(session);
            dialer.dial(server.address(), settings.dialTimeout(), session);
        } else {
            // Each descriptor is in use by a set-up that is out: what waits here is free to go elsewhere.
            scheduler.after(Duration.ZERO, this::endWaiting);
        }
    }

    /** The connection for what comes next: the one with the fewest set-ups out, or null while none is up. */
    private Session best() {
        Session best = null;
        for (Session one : sessions) {
            if (one.isUp() && (best == null || one.sent.size() < best.sent.size())) {
                best = one;
            }
        }
        return best;
    }

    /**
     * The connection for a set-up: one on which all that was written has left, if it isn't to leave after a drain; and not
     * one on which the server may still answer an attempt of the same call that was given up.
     */
    private Session bestForSetUp(String call) {
        Session best = null;
        for (Session one : sessions) {
            if (one.isUp() && !one.connection.isStuck() && !one.givenUp.containsKey(call) && (best == null || one.sent.size() < best.sent.size())) {
                best = one;
            }
        }
        return best;
    }

    /**
     * Guards rule three against a list that comes too late or not at all: a server that drains goes on answering and
     * ending its calls, and takes connections for some seconds more, but it tells no lines. One that has not told them
     * for long on a connection that is up is sent nothing new before it tells them again.
     */
    private boolean mayDrain() {
        Duration period = lines.length();
        Duration untold = listCurrent.getAsBoolean() ? period.multipliedBy(3).dividedBy(2) : period.plus(limits.linesVary());
        return everToldLines && takingAt.plus(untold).isBefore(scheduler.now());
    }

    @Override
    public void setUp(SetUp setUp, Duration patience, boolean mayHaveRun) {
        draining = false;   // nothing new comes here while it drains
        byte[] bytes = new Message(Message.SET_UP, setUp.id())
                .with(Message.CLASS, settings.classes().get(setUp.callClass()).name())
                .with(Message.PATIENCE, Long.toString(Math.max(1, patience.toMillis())))
                .with(Message.NUMBER, setUp.number())
                .with(Message.DESCRIPTION, setUp.description()).bytes();
        Session best = mayDrain() ? null : bestForSetUp(setUp.id());
        if (best == null) {
            waitingSetUps.put(setUp.id(), bytes);
            dialForWaiting();
            return;
        }
        if (!best.sent.isEmpty() && sessions.size() < limits.connections() && connections.isUnder(2)
                && !scheduler.now().isBefore(noMoreBefore)) {
            noMoreBefore = scheduler.now().plus(REDIAL_FIRST);
            dialOne();   // all that are up are busy: the next set-up finds one more
        }
        best.setUp(setUp.id(), bytes);
    }

    /** Set-ups wait for a connection that is being dialled; where none may be, they are free to go elsewhere. */
    private void dialForWaiting() {
        if (sessions.stream().anyMatch(session -> session.connection == null)) {
            return;
        }
        if (best() == null) {
            dial();
        } else if (sessions.size() < limits.connections() && !scheduler.now().isBefore(noMoreBefore)) {
            dialOne();
        } else {
            scheduler.after(Duration.ZERO, this::endWaiting);
        }
    }

    /**
     * Guards the rule of one attempt, and session servers against work for callers that have gone: a set-up that has not
     * begun to leave never does, and the give-up of one that has leaves before anything else is decided. Where it can't,
     * the connection is broken off, which gives up what is out there.
     */
    @Override
    public void giveUp(String call) {
        if (waitingSetUps.remove(call) != null) {
            return;
        }
        Session session = out.remove(call);
        if (session != null) {
            session.giveUp(call, session.sent.remove(call));
        }
    }

    @Override
    public void release(String call, Ending how, byte[] content) {
        byte[] bytes = new Message(Message.RELEASE, call).withCause(Cause.ofRelease(how)).bytes();
        Session free = bestForSetUp(call);
        Session best = free == null ? best() : free;
        if (best != null) {
            best.release(call, bytes);
        } else if (!closed && waitingReleases.size() < limits.waitingReleases()) {
            waitingReleases.put(call, bytes);
            dial();
        }
    }

    @Override
    public Optional<byte[]> waiting(String call) {
        return waitingReleases.containsKey(call) ? Optional.of(NOTHING) : Optional.empty();
    }

    /** What the server told the former controller's connection as it broke, it tells the next one that opens as well. */
    @Override
    public void adopted(String call, byte[] ending) {
        visitAnew();
    }

    /** Guards the ends of standing calls that were told on a connection that broke: the next one that opens hears them. */
    private void visitAnew() {
        if (visitAnew == null) {
            visitAnew = scheduler.after(Duration.ofNanos(random.nextLong(REDIAL_FIRST.toNanos())), () -> {
                visitAnew = null;
                if (!closed && sessions.size() < limits.connections()) {
                    dialOne();
                }
            });
        }
    }

    /**
     * Guards hundreds of servers against a connection from each controller for each call that one of them set up before
     * its restart: where none is up the release waits for the next, and there are only so many.
     */
    @Override
    public void releaseUnknown(String call) {
        if (best() != null) {
            release(call, Ending.COMPLETED, NOTHING);
        } else if (!closed && waitingReleases.size() < limits.waitingUnknown()) {
            waitingReleases.put(call, new Message(Message.RELEASE, call).withCause(Cause.OVER).bytes());
        }
    }

    @Override
    public void drain() {
        draining = true;
        endWaiting();
        // Guards rule three against what was written in this turn, and what was written before and could not leave: it would,
        // once the server reads again.
        List.copyOf(sessions).forEach(Session::takeBack);
    }

    /** A new connection on which no lines were told, while the bus is not heard, shows nothing of a drain. */
    private void endUntold() {
        if (mayDrain()) {
            endWaiting();
        }
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
        reached();
        if (visitAnew != null) {
            visitAnew.cancel();
        }
        waitingReleases.clear();
        if (redialTimer != null) {
            redialTimer.cancel();
        }
        List<Session> ended = List.copyOf(sessions);
        sessions.clear();
        endWaiting();
        ended.forEach(session -> {
            session.stop();
            if (session.connection != null) {
                session.connection.abort(ConnectionEnd.DELISTED);   // what is out there is free to go elsewhere
            }
            session.endSent(ConnectionEnd.DELISTED);
        });
    }

    /** A message, and when it was written. */
    private record Sent(Instant at, byte[] message) { }

    /** One connection to the server. */
    private final class Session implements Protocol {

        private final FrameAssembler assembler = Message.assembler();
        private final FrameDeadline unfinished = new FrameDeadline(scheduler, limits.unfinished(),
                () -> end(ConnectionEnd.UNFINISHED));
        /** Set-ups that are out on this connection, in the order in which they were sent, and when. */
        private final Map<String, Sent> sent = new LinkedHashMap<>();
        /** Set-ups that were given up here and of which the server has said nothing since, and when. */
        private final Map<String, Instant> givenUp = new LinkedHashMap<>();
        /** Releases that were written here since something was last heard, and when. */
        private final Map<String, Sent> unheardReleases = new LinkedHashMap<>();
        private Connection connection;
        private Scheduler.Timer idle;
        private Scheduler.Timer silence;
        private Instant used;
        /** When the last whole message came. */
        private Instant heard;
        private boolean tellsLines;
        /** When the lines were last told here but for the first time, and how long after the time before; or null. */
        private Instant linesAt;
        private Duration lastWait;
        private boolean ending;

        boolean isUp() {
            return connection != null && !ending;
        }

        /** One with nothing out on it may give way to a connection to another server; one with calls last. */
        @Override
        public Instant idleSince() {
            return !isUp() || !sent.isEmpty() ? null
                    : controller.get().standsAt(server.id()) ? used.plus(GIVES_WAY_LAST) : used;
        }

        private void giveWay(ConnectionEnd why) {
            end(why);
        }

        @Override
        public void opened(Connection up) {
            connection = up;
            if (closed) {
                up.close(ConnectionEnd.DELISTED);
                return;
            }
            redial = REDIAL_FIRST;
            reached();
            used = scheduler.now();
            heard = used;
            if (listCurrent.getAsBoolean() && sessions.stream().noneMatch(one -> one != this && one.isUp())) {
                takingAt = used;   // nothing could have been told meanwhile, and a drain would be known
            }
            vainDials = 0;
            idle = scheduler.after(idleAfter, this::closeIfIdle);
            silence = scheduler.after(silence(), this::closeIfSilent);
            LOG.log(Level.INFO, "server {0} at {1} is up", name, up.remote());
            List<String> left = List.copyOf(waitingReleases.keySet());
            releaseWaiting();
            left.forEach(call -> controller.get().releaseLeft(call));
            if (!mayDrain()) {
                sendWaiting();
            } else if (listCurrent.getAsBoolean()) {
                endWaiting();
            } else {
                scheduler.after(limits.firstLines(), ServerLink.this::endUntold);
            }
        }

        /** In portions: more at once would count as what the server leaves unread. */
        private void releaseWaiting() {
            int written = 0;
            for (Map.Entry<String, byte[]> one : waitingReleases.entrySet()) {
                release(one.getKey(), one.getValue());
                if (++written % RELEASES_AT_ONCE == 0) {
                    connection.flush();
                }
            }
            waitingReleases.clear();
        }

        private void sendWaiting() {
            List<String> stay = waitingSetUps.keySet().stream().filter(givenUp::containsKey).toList();
            waitingSetUps.forEach((call, bytes) -> {
                if (!givenUp.containsKey(call)) {
                    setUp(call, bytes);
                }
            });
            waitingSetUps.keySet().retainAll(stay);
        }

        void setUp(String call, byte[] bytes) {
            sent.put(call, new Sent(scheduler.now(), bytes));
            out.put(call, this);
            write(bytes);
        }

        void giveUp(String call, Sent setUp) {
            Connection.Withdrawal how = connection.withdraw(setUp.message());
            if (how == Connection.Withdrawal.WITHDRAWN) {
                return;
            }
            if (how == Connection.Withdrawal.BOUND || ending || connection.isStuck()) {
                ending = true;
                connection.abort(ConnectionEnd.OVERFLOW);
                return;
            }
            forgetGivenUp();
            givenUp.put(call, scheduler.now());
            write(new Message(Message.RELEASE, call).withCause(Cause.OVER).bytes());
            connection.flush();
            if (isOvertaken(setUp.at())) {
                end(ConnectionEnd.OVERTAKEN);
            }
        }

        /** No call is tried for longer than its caller may wait. */
        private void forgetGivenUp() {
            Instant old = scheduler.now().minus(longestPatience);
            givenUp.values().removeIf(at -> at.isBefore(old));
        }

        /** What has not begun to leave is free to go elsewhere; what would leave whenever the server reads again is broken off. */
        private void takeBack() {
            if (!isUp()) {
                return;
            }
            boolean bound = false;
            for (Map.Entry<String, Sent> one : List.copyOf(sent.entrySet())) {
                if (connection.withdraw(one.getValue().message()) == Connection.Withdrawal.WITHDRAWN) {
                    sent.remove(one.getKey());
                    out.remove(one.getKey());
                    controller.get().released(server.id(), one.getKey(), Ending.UNREACHABLE, Duration.ZERO);
                } else {
                    bound = true;
                }
            }
            if (bound && connection.isStuck()) {
                end(ConnectionEnd.OVERFLOW);
            }
        }

        /** Releases a call here; should nothing more be heard before the connection ends, it is released on the next too. */
        void release(String call, byte[] bytes) {
            if (unheardReleases.size() < limits.waitingReleases()) {
                unheardReleases.put(call, new Sent(scheduler.now(), bytes));
            }
            write(bytes);
        }

        /** Guards against set-ups that cross the other side's close of a connection that idled too long. */
        private void closeIfIdle() {
            Duration left = Duration.between(scheduler.now(), used.plus(idleAfter));
            if (left.compareTo(Duration.ZERO) > 0 || !sent.isEmpty() || draining) {
                idle = scheduler.after(left.compareTo(REDIAL_MOST) > 0 ? left : REDIAL_MOST, this::closeIfIdle);
            } else {
                end(ConnectionEnd.IDLE);
            }
        }

        /**
         * Guards against calls left standing, and set-ups sent in vain, at a machine that vanished: it gives no
         * sign, and its connection stays open. A new connection shows whether it is there.
         */
        private void closeIfSilent() {
            Duration left = Duration.between(scheduler.now(), heard.plus(silence()));
            if (left.compareTo(Duration.ZERO) > 0) {
                silence = scheduler.after(left, this::closeIfSilent);
            } else if (tellsLines && !draining) {
                end(ConnectionEnd.SILENT);
            } else {
                silence = scheduler.after(silence(), this::closeIfSilent);
            }
        }

        private Duration silence() {
            Duration two = lines.length().multipliedBy(2).plus(limits.linesVary());
            return lines.isSeen() && two.compareTo(limits.silence()) > 0 ? two : limits.silence();
        }

        /**
         * Guards against a connection on which nothing comes any more though the server works: it takes set-ups in
         * turn, so one that it answered on another connection, sent well after this one, was overtaken by it.
         */
        boolean isOvertaken(Instant sentAt) {
            return !heard.isAfter(sentAt) && !answeredUpTo.isBefore(sentAt.plus(limits.overtaken()));
        }

        /**
         * One that is merely not needed any more is closed in order, and read to its end where the end of a call that stands
         * may cross the close. Others are broken off at once, since what is out on them waits for their end.
         */
        private void end(ConnectionEnd why) {
            ending = true;
            if (why == ConnectionEnd.IDLE || why == ConnectionEnd.GAVE_WAY) {
                if (controller.get().standsAt(server.id())) {
                    connection.finish(why);
                } else {
                    connection.close(why);
                }
            } else {
                connection.abort(why);
            }
        }

        void write(byte[] bytes) {
            used = scheduler.now();
            connection.write(bytes);
        }

        @Override
        public void received(ByteBuffer bytes) {
            used = scheduler.now();
            try {
                unfinished.fed(assembler.feed(bytes, frame -> message(Message.read(frame))), assembler.begun());
            } catch (BadInput e) {
                LOG.log(Level.WARNING, "server {0} closed for bad input: {1}", name, e.getMessage());
                bytes.position(bytes.limit());
                end(ConnectionEnd.BAD_INPUT);
            }
        }

        private void message(Message message) {
            String call = message.id();
            heard = scheduler.now();
            Instant surely = heard.minus(limits.firstLines());
            unheardReleases.values().removeIf(release -> release.at().isBefore(surely));
            switch (message.type) {
                case Message.ANSWER -> {
                    byte[] description = message.value(Message.DESCRIPTION);
                    if (isOfEarlierAttempt(call)) {
                        return;
                    }
                    if (description == null && sent.containsKey(call)) {
                        unusable(call, "no description");
                        return;
                    }
                    atEnd(call);
                    controller.get().answered(server.id(), call, description == null ? NOTHING : description);
                }
                case Message.RELEASE -> {
                    if (isOfEarlierAttempt(call)) {
                        return;
                    }
                    if (!message.hasCause() && (sent.containsKey(call) || controller.get().stands(call))) {
                        unusable(call, "no cause of one byte");
                        return;
                    }
                    atEnd(call);
                    controller.get().released(server.id(), call, Cause.ending(message.cause(),
                            message.text(Message.NOTE)), Duration.ZERO);
                }
                case Message.RELEASE_HEARD -> givenUp.remove(call);   // nothing more comes of what was given up
                case Message.PROGRESS, Message.TEST_RESULT -> { }
                case Message.GROUP_STATE -> groupState(message);
                default -> throw new BadInput("a message of type " + message.type);
            }
        }

        /**
         * Guards a call's attempt that is out on another connection to this server, or waits for one: what is said here is of
         * an earlier one, which was given up here, and another attempt would be sent beside it.
         */
        private boolean isOfEarlierAttempt(String call) {
            givenUp.remove(call);
            Session current = out.get(call);
            return current == null ? waitingSetUps.containsKey(call) : current != this;
        }

        /**
         * Ends one call by a message that is whole and can't be used; the others on this connection have no part in it. The
         * server may hold the call's place: it is released.
         */
        private void unusable(String call, String why) {
            LOG.log(Level.WARNING, "server {0}: what it said of call {1} can''t be used: {2}", name, call, why);
            atEnd(call);
            release(call, new Message(Message.RELEASE, call).withCause(Cause.OVER).bytes());
            controller.get().released(server.id(), call, Ending.RESET, Duration.ZERO);
        }

        /** A set-up of this connection has come to its end, and shows what the server has got to. */
        private void atEnd(String call) {
            Sent setUp = sent.remove(call);
            if (setUp == null) {
                return;
            }
            Instant sentAt = setUp.at();
            out.remove(call);
            answeredUpTo = sentAt.isAfter(answeredUpTo) ? sentAt : answeredUpTo;
            for (Session other : List.copyOf(sessions)) {
                if (other.isUp() && !other.sent.isEmpty() && other.isOvertaken(other.sent.values().iterator().next().at())) {
                    other.end(ConnectionEnd.OVERTAKEN);
                }
            }
        }

        /** A state such as {@code free:12;size:299}: the server's free lines and all its lines. */
        private void groupState(Message message) {
            Instant now = scheduler.now();
            if (linesAt != null) {
                Duration wait = Duration.between(linesAt, now);
                lines.told(wait, lastWait);
                lastWait = wait;
            }
            linesAt = tellsLines ? now : null;   // the first come with the connection, whenever in the period that is
            tellsLines = true;
            everToldLines = true;
            takingAt = now;
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
            if (!draining && isUp() && !connection.isStuck()) {
                sendWaiting();
            }
            controller.get().linesTold(server.id(), free, size);
        }

        void stop() {
            unfinished.stop();
            if (idle != null) {
                idle.cancel();
                silence.cancel();
            }
        }

        /** What was out here has come to its end with the connection. */
        private void endSent(ConnectionEnd end) {
            List<String> broken = List.copyOf(sent.keySet());
            sent.clear();
            broken.forEach(out::remove);
            broken.forEach(call -> controller.get().released(server.id(), call, end.outcome(), Duration.ZERO));
        }

        /** Guards calls against standing for good: a release that was written here may never have been read. */
        private void releaseAgain(ConnectionEnd end) {
            if (end != ConnectionEnd.IDLE && end != ConnectionEnd.GAVE_WAY) {
                unheardReleases.forEach((call, release) -> {
                    if (waitingReleases.size() < limits.waitingReleases()) {
                        waitingReleases.put(call, release.message());
                    }
                });
            }
            unheardReleases.clear();
        }

        @Override
        public void closed(ConnectionEnd end) {
            sessions.remove(this);
            connections.ended(this);
            stop();
            if (closed) {
                return;
            }
            LOG.log(Level.INFO, "server {0} is down: {1}", name, end);
            if (connection == null) {
                noMoreBefore = scheduler.now().plus(REDIAL_MOST);
            } else {
                leftByServer = end == ConnectionEnd.RESET || end == ConnectionEnd.CLOSED_BY_PEER;
                awaitReached();
            }
            endSent(end);
            releaseAgain(end);
            if (sessions.isEmpty()) {
                allEnded(end);
            } else if (sessions.stream().noneMatch(session -> session.connection == null)) {
                endWaiting();   // the one that was dialled for them did not come up
                if (connection != null && end != ConnectionEnd.IDLE && end != ConnectionEnd.GAVE_WAY
                        && controller.get().standsAt(server.id())) {
                    visitAnew();
                }
            }
        }
    }

    /**
     * Guards calls that stand at a server that takes no connection any more, since it drains, and whose last one was lost
     * by no doing of its own: their ends can't be told, and the list may say too late that it has gone. A caller is owed
     * the end of its call within 8 s of it, and none can have come before the connection was lost.
     */
    private void awaitReached() {
        if (sessions.stream().noneMatch(Session::isUp) && unreached == null) {
            unreached = scheduler.after(limits.unreached(), () -> {
                unreached = null;
                if (!closed && controller.get().standsAt(server.id())) {
                    LOG.log(Level.WARNING, "server {0} could not be reached for {1} ms: its calls count as cut", name,
                            Long.toString(limits.unreached().toMillis()));
                    controller.get().serverDied(server.id(), false);
                }
            });
        }
    }

    private void reached() {
        if (unreached != null) {
            unreached.cancel();
            unreached = null;
        }
    }

    /** Nothing is up or dialled any more. */
    private void allEnded(ConnectionEnd end) {
        endWaiting();
        vainDials += end == ConnectionEnd.DIAL_TIMED_OUT ? 1 : 0;
        boolean sure = end.provesProcessGone() && (!draining || leftByServer);
        if (sure || vainDials >= VAIN_DIALS) {
            // Guards against calls that stood at a process that stopped or died: nobody is left to release them, and
            // the list may tell so too late.
            controller.get().serverDied(server.id(), sure);
        }
        if (!closed && (controller.get().standsAt(server.id()) || !waitingReleases.isEmpty()
                || end == ConnectionEnd.GAVE_WAY && scheduler.now().isBefore(startedAt.plus(OLDER_CALLS)))) {
            // What concerns standing calls may come on the next connection. Spread: a server that restarts is dialled by
            // the whole fleet.
            Duration wait = end == ConnectionEnd.GAVE_WAY ? REJOIN : redial;
            redialTimer = scheduler.after(wait.plusNanos(random.nextLong(wait.toNanos() / 2)), this::visit);
            redial = redial.multipliedBy(2).compareTo(REDIAL_MOST) < 0 ? redial.multipliedBy(2) : REDIAL_MOST;
        }
    }
}
