package pathlane.lab;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.lab.EventRecorder.EventKind;
import pathlane.transport.Connection;
import pathlane.transport.Protocol;
import pathlane.wire.Cause;
import pathlane.wire.FrameAssembler;
import pathlane.wire.Message;

/**
 * A simulated session server shared by many controllers. As in the platform's protocol, messages of a call use the
 * connection of its request or, if that is closed, any open one; the end of a call is also repeated on the next connection
 * that opens. Calls end on request or after a fixed duration.
 */
public final class SimulatedServer {

    private static final Duration CAPACITY_REPORT_INTERVAL = Duration.ofSeconds(1);

    private static final class Call {
        final Link link;
        boolean isEstablished;

        Call(Link link) {
            this.link = link;
        }
    }

    private final String name;
    private final Scheduler scheduler;
    private final Duration answerDelay;
    private final Duration callDuration;
    private final EventRecorder history;
    private final Map<String, Call> calls = new LinkedHashMap<>();
    private final Set<Link> links = new LinkedHashSet<>();
    private final List<Message> undelivered = new ArrayList<>();
    private boolean isAnswering = true;
    private boolean isDown;

    /**
     * A server that answers every call request.
     *
     * @param answerDelay time from a request to its answer
     * @param callDuration duration of an established call; zero: until it is released or ended
     */
    public SimulatedServer(String name, Scheduler scheduler, Duration answerDelay, Duration callDuration,
            EventRecorder history) {
        this.name = name;
        this.scheduler = scheduler;
        this.answerDelay = answerDelay;
        this.callDuration = callDuration;
        this.history = history;
        scheduler.after(CAPACITY_REPORT_INTERVAL, this::reportCapacity);
    }

    /** Returns the protocol for a connection from the party of this name. */
    public Protocol accept(String from) {
        return new Link(from);
    }

    /** Whether the server accepts connections. */
    public boolean isUp() {
        return !isDown;
    }

    /** Sets whether requests are answered; otherwise they are accepted and left unanswered. */
    public void setAnswering(boolean isAnswering) {
        this.isAnswering = isAnswering;
    }

    /** The calls that are established at this server. */
    public Set<String> established() {
        Set<String> established = new LinkedHashSet<>();
        calls.forEach((id, call) -> {
            if (call.isEstablished) {
                established.add(id);
            }
        });
        return established;
    }

    /** Ends a call that is established at this server. */
    public void end(String id) {
        Call call = calls.get(id);
        if (call != null && call.isEstablished) {
            calls.remove(id);
            history.record(EventKind.ENDED, name, call.link.from, id, "");
            Message released = new Message(Message.RELEASE, id).withCause(Cause.NORMAL_CLEARING);
            send(call.link, released);
            if (!undelivered.contains(released)) {
                undelivered.add(released);   // repeated on the next connection that opens
            }
        }
    }

    /** Simulates a crash: connections are reset and calls are lost. */
    public void crash() {
        isDown = true;
        calls.forEach(
                (id, call) -> history.record(call.isEstablished ? EventKind.ENDED : EventKind.GIVEN_UP, name, "", id,
                        "the process died"));
        calls.clear();
        undelivered.clear();
        List.copyOf(links).forEach(line -> line.connection.close(CloseReason.RESET));
    }

    /** Starts a new process of this server. */
    public void start() {
        isDown = false;
    }

    private void reportCapacity() {
        if (!isDown) {
            links.forEach(this::reportCapacity);
        }
        scheduler.after(CAPACITY_REPORT_INTERVAL, this::reportCapacity);
    }

    private void reportCapacity(Link link) {
        link.write(new Message(Message.CAPACITY_REPORT, 0).with(Message.CAPACITY, "free:100000;size:100000"));
    }

    private void send(Link preferred, Message message) {
        Link link = preferred.open ? preferred : links.stream().findFirst().orElse(null);
        if (link == null) {
            undelivered.add(message);
        } else {
            link.write(message);
        }
    }

    private final class Link implements Protocol {
        private final String from;
        private final FrameAssembler assembler = Message.assembler();
        private Connection connection;
        private boolean open;

        Link(String from) {
            this.from = from;
        }

        void write(Message message) {
            connection.write(message.bytes());
        }

        @Override
        public void opened(Connection opened) {
            connection = opened;
            open = true;
            links.add(this);
            reportCapacity(this);
            List<Message> messages = List.copyOf(undelivered);
            undelivered.clear();
            messages.forEach(this::write);
        }

        @Override
        public void received(ByteBuffer bytes) {
            assembler.feed(bytes, frame -> message(Message.read(frame)));
        }

        private void message(Message message) {
            String id = message.id();
            switch (message.type) {
                case Message.CALL_REQUEST -> startAttempt(id, message);
                case Message.RELEASE -> {
                    Call call = calls.remove(id);
                    if (call != null) {
                        history.record(call.isEstablished ? EventKind.HEARD_RELEASE : EventKind.GIVEN_UP, name, from, id,
                                "");
                    }
                    write(new Message(Message.RELEASE_COMPLETE, id));
                }
                case Message.HEALTH_CHECK -> write(new Message(Message.HEALTH_CHECK_RESULT, id).withCause(1));
                default -> {}
            }
        }

        private void startAttempt(String id, Message message) {
            history.record(EventKind.REACHED, name, from, id, "");
            Call call = new Call(this);
            calls.put(id, call);
            if (isAnswering) {
                byte[] description = message.value(Message.DESCRIPTION);
                scheduler.after(answerDelay, () -> establish(id, call, description));
            }
        }

        private void establish(String id, Call call, byte[] description) {
            if (calls.get(id) != call) {
                return;
            }
            call.isEstablished = true;
            history.record(EventKind.STOOD, name, from, id, "");
            send(this, new Message(Message.ANSWER, id).with(Message.DESCRIPTION, description));
            if (!callDuration.isZero()) {
                scheduler.after(callDuration, () -> {
                    if (calls.get(id) == call) {
                        end(id);
                    }
                });
            }
        }

        @Override
        public void closed(CloseReason reason) {
            open = false;
            links.remove(this);
            List.copyOf(calls.entrySet()).forEach(one -> {
                if (one.getValue().link == this && !one.getValue().isEstablished) {
                    calls.remove(one.getKey());
                    history.record(EventKind.GIVEN_UP, name, from, one.getKey(), "its connection closed");
                }
            });
        }
    }
}
