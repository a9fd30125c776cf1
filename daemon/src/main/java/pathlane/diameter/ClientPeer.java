package pathlane.diameter;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import pathlane.config.file.DiameterConfig;
import pathlane.core.CallController;
import pathlane.core.CallRequest;
import pathlane.core.ClientPort;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.decision.Outcome;

/**
 * One connection from a Diameter client: an initial Credit-Control-Request is a set-up, its answer the one final
 * answer, a termination the release of a call that stands.
 */
final class ClientPeer implements ClientPort, PeerSession.Handler, Watchdog.Actions {

    private static final int INITIAL = 1;
    private static final int UPDATE = 2;
    private static final int TERMINATION = 3;

    private final CallController controller;
    private final DiameterConfig config;
    private final LocalNode local;
    private final Watchdog watchdog;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final Map<String, DiameterMessage> unanswered = new HashMap<>();
    /** Updates without an answer, by their ids for the whole way. */
    private final Map<Integer, DiameterMessage> updates = new HashMap<>();
    private final Consumer<ClientPeer> gone;
    private PeerSession session;

    /** {@code gone} hears that the connection has ended. */
    ClientPeer(CallController controller, DiameterConfig config, LocalNode local, Scheduler scheduler,
            RandomGenerator random, Consumer<ClientPeer> gone) {
        this.gone = gone;
        this.controller = controller;
        this.config = config;
        this.local = local;
        this.scheduler = scheduler;
        this.random = random;
        this.watchdog = new Watchdog(config.watchdog(), scheduler, random, this);
    }

    // ---- from the connection

    @Override
    public int accept(String host) {
        // A node that this one dials would be met twice: that connection wins (RFC 6733, section 5.6.4).
        return config.peers().stream().anyMatch(peer -> peer.host().equals(host)) ? ResultCode.ELECTION_LOST
                : ResultCode.SUCCESS;
    }

    @Override
    public void opened(PeerSession up) {
        session = up;
        watchdog.connectionUp();
        controller.clientConnected(this);
    }

    @Override
    public void request(PeerSession from, DiameterMessage request) {
        if (request.command() != DiameterMessage.CREDIT_CONTROL) {
            throw new Fault(ResultCode.COMMAND_UNSUPPORTED, null, "command " + request.command());
        }
        for (int code : new int[] {Avp.SESSION_ID, Avp.ORIGIN_HOST, Avp.ORIGIN_REALM, Avp.DESTINATION_REALM,
                Avp.AUTH_APPLICATION_ID, Avp.SERVICE_CONTEXT_ID, Avp.CC_REQUEST_NUMBER}) {
            request.require(code);
        }
        request.require(Avp.CC_REQUEST_NUMBER).number();
        String call = request.require(Avp.SESSION_ID).text();
        Avp type = request.require(Avp.CC_REQUEST_TYPE);
        switch (type.number()) {
            case INITIAL -> setUp(call, request);
            case UPDATE -> update(call, request);
            case TERMINATION -> {
                boolean known = controller.clientReleased(call, forwarded(request).bytes(), this);
                from.send(answer(request, known ? ResultCode.SUCCESS : ResultCode.UNKNOWN_SESSION_ID,
                        Duration.ZERO));
            }
            default -> throw new Fault(ResultCode.INVALID_AVP_VALUE, type, "request type " + type.number());
        }
    }

    private void setUp(String call, DiameterMessage request) {
        DiameterConfig.ServiceClass asked = serviceOf(request);
        Avp wanted = request.find(Avp.DESTINATION_HOST);
        CallRequest setUp = new CallRequest(call, asked.index(), number(call, request), asked.patience(),
                config.cellOf(wanted == null ? "" : wanted.text()), forwarded(request).bytes());
        DiameterMessage earlier = unanswered.put(call, request);
        if (controller.submit(setUp, this)) {
            return;
        }
        if (earlier != null) {
            unanswered.put(call, earlier);
        } else if (controller.resubmit(setUp, this)) {
            return;   // sent once more after a failover: the answer comes here
        } else {
            unanswered.remove(call);
        }
        // A session that is open or stands is not begun again, and its answer goes to nobody else.
        session.send(answer(request, ResultCode.UNABLE_TO_COMPLY, Duration.ZERO));
    }

    /** An update goes to the server at which the session stands, and its answer comes back; or the client hears why. */
    private void update(String call, DiameterMessage request) {
        if (!controller.isEstablished(call)) {
            session.send(answer(request, ResultCode.UNKNOWN_SESSION_ID, Duration.ZERO));
            return;
        }
        int id = request.endToEnd();
        updates.put(id, request);
        if (controller.forwardToServer(call, forwarded(request).bytes())) {
            scheduler.after(serviceOf(request).patience(), () -> undelivered(id, request));
        } else {
            undelivered(id, request);
        }
    }

    private void undelivered(int id, DiameterMessage request) {
        if (updates.remove(id, request) && session.isOpen()) {
            session.send(answer(request, ResultCode.UNABLE_TO_DELIVER, Duration.ZERO));
        }
    }

    private DiameterConfig.ServiceClass serviceOf(DiameterMessage request) {
        Avp service = request.find(Avp.SERVICE_IDENTIFIER);
        return config.classOf(service == null ? -1 : service.number());
    }

    /** The subscriber, or the call itself where none is named. */
    private static String number(String call, DiameterMessage request) {
        Avp subscription = request.find(Avp.SUBSCRIPTION_ID);
        if (subscription == null) {
            return call;
        }
        for (ByteBuffer inner = ByteBuffer.wrap(subscription.data()); inner.hasRemaining();) {
            Avp avp = Avp.read(inner);
            if (avp.code() == Avp.SUBSCRIPTION_ID_DATA) {
                return avp.text();
            }
        }
        return call;
    }

    /** A request as it goes on: it says by whom it came here (RFC 6733, section 6.1.9). */
    private DiameterMessage forwarded(DiameterMessage request) {
        List<Avp> avps = new ArrayList<>(request.avps());
        avps.add(Avp.of(Avp.ROUTE_RECORD, session.peer()));
        return request.withHop(0, request.flags() & ~DiameterMessage.RETRANSMITTED, avps);
    }

    @Override
    public void answer(PeerSession from, DiameterMessage answer) {
        // Nothing of the application is asked of clients but aborts, whose answers change nothing.
    }

    @Override
    public void messageReceived(boolean watchdogAnswer) {
        watchdog.received(watchdogAnswer);
    }

    @Override
    public void closed(PeerSession ended, CloseReason end) {
        watchdog.stop();
        gone.accept(this);
        if (session != null) {
            unanswered.clear();
            updates.clear();
            controller.clientDisconnected(this);
        }
    }

    /** Parts from the client in order. */
    void disconnect() {
        if (session != null) {
            session.disconnect();
        }
    }

    // ---- towards the client

    @Override
    public void answer(String call, byte[] description) {
        sendBack(unanswered.remove(call), DiameterMessage.read(ByteBuffer.wrap(description)));
    }

    @Override
    public void superseded(String call) {
        unanswered.remove(call);
    }

    @Override
    public void forwardReply(String call, byte[] content) {
        DiameterMessage answer = DiameterMessage.read(ByteBuffer.wrap(content));
        DiameterMessage request = updates.remove(answer.endToEnd());
        if (request != null) {
            sendBack(request, answer);
        }
    }

    /** A server's answer goes back unchanged but for the ids, which are those of the request. */
    private void sendBack(DiameterMessage request, DiameterMessage answer) {
        session.send(new DiameterMessage(answer.flags(), answer.command(), answer.application(),
                request.hopByHop(), request.endToEnd(), answer.avps()));
    }

    @Override
    public void reject(String call, Duration comeBackAfter) {
        session.send(answer(unanswered.remove(call), ResultCode.TOO_BUSY, comeBackAfter));
    }

    @Override
    public void fail(String call) {
        session.send(answer(unanswered.remove(call), ResultCode.UNABLE_TO_DELIVER, Duration.ZERO));
    }

    @Override
    public void release(String call, Outcome how) {
        List<Avp> avps = List.of(Avp.of(Avp.SESSION_ID, call), Avp.of(Avp.ORIGIN_HOST, local.host()),
                Avp.of(Avp.ORIGIN_REALM, local.realm()), Avp.of(Avp.DESTINATION_REALM, session.realm()),
                Avp.of(Avp.DESTINATION_HOST, session.peer()),
                Avp.of(Avp.AUTH_APPLICATION_ID, DiameterMessage.CREDIT_CONTROL_APPLICATION));
        int flags = DiameterMessage.REQUEST | DiameterMessage.PROXIABLE;
        session.sendRequest(new DiameterMessage(flags, DiameterMessage.ABORT_SESSION,
                DiameterMessage.CREDIT_CONTROL_APPLICATION, 0, PeerSession.newEndToEnd(scheduler, random), avps), flags,
                avps);
    }

    @Override
    public String clientKey() {
        return session.peer();
    }

    @Override
    public boolean isSameClient(ClientPort other) {
        // Another client's connection is no way to this one.
        return other != null && other.clientKey().equals(session.peer());
    }

    private DiameterMessage answer(DiameterMessage request, int result, Duration comeBackAfter) {
        List<Avp> more = new ArrayList<>(List.of(
                Avp.of(Avp.AUTH_APPLICATION_ID, DiameterMessage.CREDIT_CONTROL_APPLICATION),
                request.require(Avp.CC_REQUEST_TYPE), request.require(Avp.CC_REQUEST_NUMBER)));
        if (comeBackAfter.compareTo(Duration.ZERO) > 0) {
            // Validity-Time counts whole seconds; a refused request is not tried again before they are over.
            more.add(Avp.of(Avp.VALIDITY_TIME, (int) comeBackAfter.plusMillis(999).toSeconds()));
        }
        return request.answer(result, local, more);
    }

    // ---- from the watchdog

    @Override
    public void sendWatchdog() {
        session.sendWatchdog();
    }

    @Override
    public void failOver() {
        // Requests of a silent client are served on; its connection is closed if it stays silent.
    }

    @Override
    public void failBack() {
        // Nothing was held back.
    }

    @Override
    public void closeConnection() {
        session.close(CloseReason.WATCHDOG_LOST);
    }

    @Override
    public void attemptOpen() {
        // Clients dial.
    }
}
