package pathlane.lab;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import pathlane.core.CloseReason;
import pathlane.lab.EventRecorder.EventKind;
import pathlane.transport.Connection;
import pathlane.transport.Protocol;
import pathlane.wire.FrameAssembler;
import pathlane.wire.Message;

/**
 * Simulated clients of one front: they request and release calls and are notified on any of their connections. Not safe
 * for threads.
 */
public final class SimulatedClient {

    private static final int CAUSE_NORMAL_END = 16;
    private static final int RADIX = 16;

    /** Opens a connection to a controller. */
    public interface Front {
        void connect(String controller, Protocol protocol);
    }

    private final String name;
    private final Front front;
    private final EventRecorder history;
    private final Map<String, Link> links = new HashMap<>();
    private final Map<String, String> pending = new LinkedHashMap<>();
    private final Map<String, String> established = new LinkedHashMap<>();
    private long requestCount;
    private final long firstId;
    private Consumer<String> onRefused = call -> {};

    /** {@code base} keeps its call ids apart from those of other clients. */
    public SimulatedClient(String name, long firstId, Front front, EventRecorder history) {
        this.name = name;
        this.firstId = firstId;
        this.front = front;
        this.history = history;
    }

    /** Is notified of each request that is refused or failed, or whose connection closes before the answer. */
    public void onRefused(Consumer<String> listener) {
        onRefused = listener;
    }

    /** Opens a connection to a controller if there is none. */
    public void connect(String controller) {
        if (!links.containsKey(controller)) {
            Link link = new Link(controller);
            links.put(controller, link);
            front.connect(controller, link);
        }
    }

    /** Whether a connection to a controller is open. */
    public boolean isConnected(String controller) {
        return links.containsKey(controller) && links.get(controller).connection != null;
    }

    /**
     * Requests a call from a controller, for the server with this index in the list. Returns the call's id, or null if the
     * controller is not connected.
     */
    public String requestCall(String controller, int index, String callClass, Duration deadline) {
        Link link = links.get(controller);
        if (link == null || link.connection == null) {
            return null;
        }
        return write(link, firstId + ++requestCount, index, callClass, deadline);
    }

    /** Repeats a request under its old id, as a client does whose connection closed before the answer. */
    public boolean repeat(String call, String controller, String callClass, Duration deadline) {
        Link link = links.get(controller);
        if (link == null || link.connection == null || pending.containsKey(call) || established.containsKey(call)) {
            return false;
        }
        write(link, Long.parseLong(call, RADIX), 0, callClass, deadline);
        return true;
    }

    private String write(Link link, long id, int index, String callClass, Duration deadline) {
        Message message = new Message(Message.CALL_REQUEST, id).with(Message.CALL_CLASS, callClass)
                .with(Message.REMAINING_DEADLINE, Long.toString(deadline.toMillis()))
                .with(Message.DESTINATION, "n" + id)
                .with(Message.ROUTING_PARAMETERS, "dest:" + index + ";width:1;via:-1")
                .with(Message.DESCRIPTION, new byte[] {1, 2});
        pending.put(message.id(), link.controller);
        history.record(EventKind.ASKED, name, link.controller, message.id(), "");
        link.connection.write(message.bytes());
        return message.id();
    }

    /** Releases an established call through this controller, or another if it is not connected. False if not possible. */
    public boolean release(String call, String controller) {
        Link link = links.get(controller);
        if (link == null || link.connection == null) {
            link = links.values().stream().filter(one -> one.connection != null).findFirst().orElse(null);
        }
        if (link == null || established.remove(call) == null) {
            return false;
        }
        history.record(EventKind.RELEASED, name, link.controller, call, "");
        link.release(call);
        return true;
    }

    /** The calls that are established as far as the clients know. */
    public Set<String> established() {
        return new LinkedHashSet<>(established.keySet());
    }

    /** The number of requests that wait for an answer. */
    public int pendingRequests() {
        return pending.size();
    }

    private final class Link implements Protocol {
        private final String controller;
        private final FrameAssembler assembler = Message.assembler();
        private Connection connection;
        /** Releases sent without a confirmation: they are sent on another connection if this one closes. */
        private final Set<String> unconfirmedReleases = new LinkedHashSet<>();

        Link(String controller) {
            this.controller = controller;
        }

        @Override
        public void opened(Connection opened) {
            connection = opened;
        }

        @Override
        public void received(ByteBuffer bytes) {
            assembler.feed(bytes, frame -> message(Message.read(frame)));
        }

        void release(String call) {
            unconfirmedReleases.add(call);
            connection.write(new Message(Message.RELEASE, call).withCause(CAUSE_NORMAL_END).bytes());
        }

        private void message(Message message) {
            String call = message.id();
            if (message.type == Message.ANSWER) {
                pending.remove(call);
                established.put(call, controller);
                history.record(EventKind.ANSWERED, name, controller, call, "");
            } else if (message.type == Message.RELEASE && pending.remove(call) != null) {
                int cause = message.cause();
                history.record(cause == 34 || cause == 42 || cause == 102 ? EventKind.REFUSED : EventKind.FAILED, name,
                        controller, call,
                        "cause " + cause);
                onRefused.accept(call);
            } else if (message.type == Message.RELEASE) {
                established.remove(call);
                history.record(EventKind.TOLD_OVER, name, controller, call, "cause " + message.cause());
            }
        }

        @Override
        public void closed(CloseReason reason) {
            connection = null;
            links.remove(controller, this);
            links.values().stream().filter(one -> one.connection != null).findFirst()
                    .ifPresent(other -> unconfirmedReleases.forEach(other::release));
            List<String> broken = new ArrayList<>();
            pending.forEach((call, at) -> {
                if (at.equals(controller)) {
                    broken.add(call);
                }
            });
            broken.forEach(call -> {
                pending.remove(call);
                history.record(EventKind.BROKEN, name, controller, call, reason.toString());
                onRefused.accept(call);
            });
        }
    }
}
