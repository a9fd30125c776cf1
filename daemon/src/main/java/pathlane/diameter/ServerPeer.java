package pathlane.diameter;

import java.io.ByteArrayOutputStream;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import pathlane.config.file.DiameterConfig;
import pathlane.core.CallController;
import pathlane.core.CallRequest;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.core.ServerPort;
import pathlane.decision.Outcome;
import pathlane.transport.Connector;

/**
 * A Diameter peer at which calls are set up: this node dials it and watches it.
 *
 * <p>A suspect peer takes nothing new, and nothing that is out is sent again: a request ends by its answer, its
 * time-out, or the end of its connection, which this node closes if the watchdog stays lost. Only then may the
 * call go elsewhere, so that a request and its resend are never both out.
 */
final class ServerPeer implements ServerPort, PeerSession.Handler, Watchdog.Actions {

    private static final Logger LOG = System.getLogger("diameter");
    private static final Duration DIAL_TIMEOUT = Duration.ofSeconds(2);
    /** A request that was given up may be answered for so long; then its session is ended unheard. */
    private static final Duration LATE_MOST = Duration.ofSeconds(60);
    private static final int TERMINATION = 3;
    private static final int ADMINISTRATIVE = 4;
    /** What a request that ends a session has from the one that began it, beside its id. */
    private static final int[] ENDING = {Avp.ORIGIN_HOST, Avp.ORIGIN_REALM, Avp.DESTINATION_REALM, Avp.SERVICE_CONTEXT_ID,
            Avp.CC_REQUEST_NUMBER};
    /** Ends of sessions that wait for a connection, at most. */
    private static final int MOST_WAITING = 10_000;

    private final DiameterConfig.Peer config;
    private final LocalNode local;
    private final Supplier<CallController> controller;
    private final Connector dialer;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final Consumer<Boolean> availability;
    private final Watchdog watchdog;
    /** Requests without an answer, by hop-by-hop id: the call that each is for. */
    private final Map<Integer, String> out = new HashMap<>();
    /** Set-ups sent and not ended, by call; and the requests of sessions that may be open here. */
    private final Map<String, DiameterMessage> asked = new HashMap<>();
    private final Map<String, DiameterMessage> waitingEnds = new LinkedHashMap<>();
    /** Those of the requests without an answer that nobody waits for any more. */
    private final Set<Integer> givenUp = new HashSet<>();
    /** Updates passed on and not answered, by hop-by-hop id: the call that each is for. */
    private final Map<Integer, String> passed = new HashMap<>();
    private PeerSession session;

    ServerPeer(DiameterConfig.Peer config, LocalNode local, Duration interval, Supplier<CallController> controller,
            Connector dialer, Scheduler scheduler, RandomGenerator random, Consumer<Boolean> availability) {
        this.config = config;
        this.local = local;
        this.controller = controller;
        this.dialer = dialer;
        this.scheduler = scheduler;
        this.random = random;
        this.availability = availability;
        this.watchdog = new Watchdog(interval, scheduler, random, this);
        attemptOpen();
        watchdog.start();
    }

    // ---- from the core

    @Override
    public void sendRequest(CallRequest setUp, Duration patience, boolean mayHaveRun) {
        String call = setUp.id();
        if (session == null || !session.isOpen() || watchdog.state() != Watchdog.State.OKAY) {
            controller.get().serverReleased(config.id(), call, Outcome.UNREACHABLE, Duration.ZERO);
            return;
        }
        DiameterMessage request = DiameterMessage.read(ByteBuffer.wrap(setUp.payload()));
        int retransmitted = mayHaveRun ? DiameterMessage.RETRANSMITTED : 0;
        asked.put(call, request);
        out.put(sendOn(request, request.flags() | retransmitted), call);
    }

    @Override
    public void cancel(String call) {
        // Diameter has no way to take a request back: its late answer is known by its id, and a session that
        // it opened is ended. Until then what was asked is kept.
        out.forEach((id, one) -> {
            if (one.equals(call) && givenUp.add(id)) {
                scheduler.after(LATE_MOST, () -> forget(id, call));
            }
        });
    }

    /** Guards against requests that are never answered: their sessions are ended unheard, or they would pile up. */
    private void forget(int id, String call) {
        if (givenUp.remove(id)) {
            out.remove(id);
            if (!controller.get().isEstablished(call) && !out.containsValue(call)) {
                release(call, Outcome.CANCELLED, new byte[0]);
            }
        }
    }

    @Override
    public boolean forward(String call, byte[] content) {
        boolean open = session != null && session.isOpen();
        if (open) {
            int id = sendOn(DiameterMessage.read(ByteBuffer.wrap(content)));
            passed.put(id, call);
            scheduler.after(LATE_MOST, () -> passed.remove(id, call));   // guards against updates never answered
        }
        return open;
    }

    @Override
    public void release(String call, Outcome how, byte[] content) {
        DiameterMessage begun = asked.remove(call);
        DiameterMessage end = content.length > 0 ? DiameterMessage.read(ByteBuffer.wrap(content))
                : begun == null ? null : termination(begun);
        if (end == null) {
            return;
        }
        if (session != null && session.isOpen()) {
            sendOn(end);
        } else if (waitingEnds.size() < MOST_WAITING) {
            waitingEnds.put(call, end);
        }
    }

    @Override
    public Optional<byte[]> pendingRelease(String call) {
        return Optional.ofNullable(waitingEnds.get(call)).map(ServerPeer::releaseToken);
    }

    @Override
    public byte[] releaseToken(CallRequest setUp) {
        return releaseToken(DiameterMessage.read(ByteBuffer.wrap(setUp.payload())));
    }

    private static byte[] releaseToken(DiameterMessage request) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int code : ENDING) {
            out.writeBytes(request.require(code).bytes());
        }
        return out.toByteArray();
    }

    /** The request that began the session, as far as it is needed to end it, in the place of the one that another sent. */
    @Override
    public void adopt(String call, byte[] ending) {
        List<Avp> avps = new ArrayList<>(List.of(Avp.of(Avp.SESSION_ID, call),
                Avp.of(Avp.AUTH_APPLICATION_ID, DiameterMessage.CREDIT_CONTROL_APPLICATION)));
        for (ByteBuffer left = ByteBuffer.wrap(ending); left.hasRemaining();) {
            avps.add(Avp.read(left));
        }
        asked.putIfAbsent(call, new DiameterMessage(DiameterMessage.REQUEST | DiameterMessage.PROXIABLE,
                DiameterMessage.CREDIT_CONTROL, DiameterMessage.CREDIT_CONTROL_APPLICATION, 0, 0, avps));
    }

    /** Sends what belongs to a session that this peer has; returns its hop-by-hop id. */
    private int sendOn(DiameterMessage request) {
        return sendOn(request, request.flags());
    }

    private int sendOn(DiameterMessage request, int flags) {
        List<Avp> avps = new ArrayList<>(request.avps());
        avps.removeIf(avp -> avp.code() == Avp.DESTINATION_HOST);
        avps.add(Avp.of(Avp.DESTINATION_HOST, config.host()));
        return session.sendRequest(request, flags, avps);
    }

    /** The request that ends the session which this one began. */
    private DiameterMessage termination(DiameterMessage begun) {
        List<Avp> avps = new ArrayList<>();
        for (int code : new int[] {Avp.SESSION_ID, Avp.ORIGIN_HOST, Avp.ORIGIN_REALM, Avp.DESTINATION_REALM,
                Avp.AUTH_APPLICATION_ID, Avp.SERVICE_CONTEXT_ID}) {
            avps.add(begun.require(code));
        }
        avps.add(Avp.of(Avp.CC_REQUEST_TYPE, TERMINATION));
        avps.add(Avp.of(Avp.CC_REQUEST_NUMBER, begun.require(Avp.CC_REQUEST_NUMBER).number() + 1));
        avps.add(Avp.of(Avp.TERMINATION_CAUSE, ADMINISTRATIVE));
        int endToEnd = PeerSession.newEndToEnd(scheduler, random);
        return new DiameterMessage(DiameterMessage.REQUEST | DiameterMessage.PROXIABLE,
                DiameterMessage.CREDIT_CONTROL, DiameterMessage.CREDIT_CONTROL_APPLICATION, 0, endToEnd, avps);
    }

    @Override
    public void drain() {
        // What is out stays out; nothing waits here.
    }

    @Override
    public void close() {
        watchdog.stop();
        if (session != null) {
            session.close(CloseReason.DELISTED);
        }
    }

    /** Parts from the peer in order. */
    void disconnect() {
        watchdog.stop();
        if (session != null) {
            session.disconnect();
        }
    }

    // ---- from the connection

    @Override
    public int accept(String host) {
        return host.equals(config.host()) ? ResultCode.SUCCESS : ResultCode.UNABLE_TO_COMPLY;
    }

    @Override
    public void opened(PeerSession up) {
        List<String> left = List.copyOf(waitingEnds.keySet());
        waitingEnds.values().forEach(this::sendOn);
        waitingEnds.clear();
        left.forEach(call -> controller.get().releaseSent(call));
        watchdog.connectionUp();
    }

    @Override
    public void request(PeerSession from, DiameterMessage request) {
        if (request.command() != DiameterMessage.ABORT_SESSION) {
            throw new Fault(ResultCode.COMMAND_UNSUPPORTED, null, "command " + request.command());
        }
        String call = request.require(Avp.SESSION_ID).text();
        boolean known = asked.remove(call) != null;
        from.send(request.answer(known ? ResultCode.SUCCESS : ResultCode.UNKNOWN_SESSION_ID, local, List.of()));
        if (known) {
            controller.get().serverReleased(config.id(), call, Outcome.RESET, Duration.ZERO);
        }
    }

    @Override
    public void answer(PeerSession from, DiameterMessage answer) {
        String call = out.remove(answer.hopByHop());
        boolean late = givenUp.remove(answer.hopByHop());
        if (call == null) {
            String update = passed.remove(answer.hopByHop());
            if (update != null) {
                controller.get().forwardToClient(config.id(), update, answer.bytes());
            }
            return;   // else the answer to the end of a session, or to nothing
        }
        int result = answer.find(Avp.RESULT_CODE) == null ? ResultCode.UNABLE_TO_COMPLY
                : answer.find(Avp.RESULT_CODE).number();
        if (ResultCode.stands(result)) {
            controller.get().serverAnswered(config.id(), call, answer.bytes());
            return;
        }
        if (late && out.containsValue(call)) {
            return;   // guards a later attempt at the same peer: this one's end is not its end
        }
        asked.remove(call);
        Avp comeBack = answer.find(Avp.VALIDITY_TIME);
        controller.get().serverReleased(config.id(), call, ResultCode.ending(result),
                comeBack == null ? Duration.ZERO : Duration.ofSeconds(comeBack.number() & 0xffffffffL));
    }

    @Override
    public void messageReceived(boolean watchdogAnswer) {
        watchdog.received(watchdogAnswer);
    }

    @Override
    public void closed(PeerSession ended, CloseReason end) {
        if (session != ended) {
            return;
        }
        session = null;
        LOG.log(Level.INFO, "peer {0} is DOWN: {1}", config.host(), end);
        watchdog.connectionDown();
        List<String> broken = List.copyOf(out.values());
        out.clear();
        givenUp.clear();
        passed.clear();   // their clients are told when their time is up
        for (String call : broken) {
            // The request may have run: the session that it may have opened is ended on the next connection,
            // before anything new goes there.
            DiameterMessage begun = asked.remove(call);
            if (begun != null && waitingEnds.size() < MOST_WAITING) {
                waitingEnds.put(call, termination(begun));
            }
            controller.get().serverReleased(config.id(), call, end.outcome(), Duration.ZERO);
        }
    }

    // ---- from the watchdog

    @Override
    public void sendWatchdog() {
        if (session != null && session.isOpen()) {
            session.sendWatchdog();
        }
    }

    @Override
    public void failOver() {
        LOG.log(Level.WARNING, "peer {0} is {1}: nothing new goes there, {2} requests stay out", config.host(),
                watchdog.state(), out.size());
        availability.accept(false);
    }

    @Override
    public void failBack() {
        LOG.log(Level.INFO, "peer {0} is OKAY", config.host());
        availability.accept(true);
    }

    @Override
    public void closeConnection() {
        if (session != null) {
            session.close(CloseReason.WATCHDOG_LOST);
        }
    }

    @Override
    public void attemptOpen() {
        if (session == null) {
            session = new PeerSession(true, local, scheduler, random, this);
            dialer.connect(config.address(), DIAL_TIMEOUT, session);
        }
    }
}
