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
import pathlane.lab.Witness.What;
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
public final class SessionServer {

    private static final Duration TELLS = Duration.ofSeconds(1);

    private static final class Call {
        final Line line;
        boolean stands;

        Call(Line line) {
            this.line = line;
        }
    }

    private final String name;
    private final Scheduler time;
    private final Duration work;
    private final Duration holds;
    private final Witness history;
    private final Map<String, Call> calls = new LinkedHashMap<>();
    private final Set<Line> lines = new LinkedHashSet<>();
    private final List<Message> waiting = new ArrayList<>();
    private boolean answers = true;
    private boolean down;

    /**
     * A server that answers every call request.
     *
     * @param work time from a request to its answer
     * @param holds duration of an established call; zero: until it is released or ended
     */
    public SessionServer(String name, Scheduler time, Duration work, Duration holds, Witness history) {
        this.name = name;
        this.time = time;
        this.work = work;
        this.holds = holds;
        this.history = history;
        time.after(TELLS, this::tell);
    }

    /** Returns the protocol for a connection from the party of this name. */
    public Protocol accept(String from) {
        return new Line(from);
    }

    /** Whether the server accepts connections. */
    public boolean isUp() {
        return !down;
    }

    /** Sets whether requests are answered; otherwise they are accepted and left unanswered. */
    public void answers(boolean does) {
        answers = does;
    }

    /** The calls that are established at this server. */
    public Set<String> standing() {
        Set<String> standing = new LinkedHashSet<>();
        calls.forEach((id, call) -> {
            if (call.stands) {
                standing.add(id);
            }
        });
        return standing;
    }

    /** Ends a call that is established at this server. */
    public void end(String id) {
        Call call = calls.get(id);
        if (call != null && call.stands) {
            calls.remove(id);
            history.note(What.ENDED, name, call.line.from, id, "");
            Message over = new Message(Message.RELEASE, id).withCause(Cause.OVER);
            send(call.line, over);
            if (!waiting.contains(over)) {
                waiting.add(over);   // repeated on the next connection that opens
            }
        }
    }

    /** Simulates a crash: connections are reset and calls are lost. */
    public void die() {
        down = true;
        calls.forEach(
                (id, call) -> history.note(call.stands ? What.ENDED : What.GIVEN_UP, name, "", id, "the process died"));
        calls.clear();
        waiting.clear();
        List.copyOf(lines).forEach(line -> line.connection.close(CloseReason.RESET));
    }

    /** Starts a new process of this server. */
    public void start() {
        down = false;
    }

    private void tell() {
        if (!down) {
            lines.forEach(this::tell);
        }
        time.after(TELLS, this::tell);
    }

    private void tell(Line line) {
        line.write(new Message(Message.GROUP_STATE, 0).with(Message.STATE, "free:100000;size:100000"));
    }

    private void send(Line own, Message message) {
        Line way = own.open ? own : lines.stream().findFirst().orElse(null);
        if (way == null) {
            waiting.add(message);
        } else {
            way.write(message);
        }
    }

    private final class Line implements Protocol {
        private final String from;
        private final FrameAssembler assembler = Message.assembler();
        private Connection connection;
        private boolean open;

        Line(String from) {
            this.from = from;
        }

        void write(Message message) {
            connection.write(message.bytes());
        }

        @Override
        public void opened(Connection up) {
            connection = up;
            open = true;
            lines.add(this);
            tell(this);
            List<Message> kept = List.copyOf(waiting);
            waiting.clear();
            kept.forEach(this::write);
        }

        @Override
        public void received(ByteBuffer bytes) {
            assembler.feed(bytes, frame -> message(Message.read(frame)));
        }

        private void message(Message message) {
            String id = message.id();
            switch (message.type) {
                case Message.SET_UP -> setUp(id, message);
                case Message.RELEASE -> {
                    Call call = calls.remove(id);
                    if (call != null) {
                        history.note(call.stands ? What.HEARD_RELEASE : What.GIVEN_UP, name, from, id, "");
                    }
                    write(new Message(Message.RELEASE_HEARD, id));
                }
                case Message.TEST -> write(new Message(Message.TEST_RESULT, id).withCause(1));
                default -> {}
            }
        }

        private void setUp(String id, Message message) {
            history.note(What.REACHED, name, from, id, "");
            Call call = new Call(this);
            calls.put(id, call);
            if (answers) {
                byte[] description = message.value(Message.DESCRIPTION);
                time.after(work, () -> stand(id, call, description));
            }
        }

        private void stand(String id, Call call, byte[] description) {
            if (calls.get(id) != call) {
                return;
            }
            call.stands = true;
            history.note(What.STOOD, name, from, id, "");
            send(this, new Message(Message.ANSWER, id).with(Message.DESCRIPTION, description));
            if (!holds.isZero()) {
                time.after(holds, () -> {
                    if (calls.get(id) == call) {
                        end(id);
                    }
                });
            }
        }

        @Override
        public void closed(CloseReason end) {
            open = false;
            lines.remove(this);
            List.copyOf(calls.entrySet()).forEach(one -> {
                if (one.getValue().line == this && !one.getValue().stands) {
                    calls.remove(one.getKey());
                    history.note(What.GIVEN_UP, name, from, one.getKey(), "its connection closed");
                }
            });
        }
    }
}
