package pathlane.standin;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.transport.Connection;
import pathlane.transport.Protocol;
import pathlane.wire.BadInput;
import pathlane.wire.Cause;
import pathlane.wire.FrameAssembler;
import pathlane.wire.Message;

/**
 * A session server that speaks the platform's protocol, for one connection: answers requests as the processor does,
 * releases each call after its holding time, and answers test messages.
 */
public final class PlatformServer implements Protocol {

    private static final int FULL = 34;

    private final String name;
    private final Processor processor;
    private final Scheduler time;
    private final Duration holds;
    private final RuleBook rules;
    private final FrameAssembler assembler = Message.assembler();
    private final Map<String, Session> open = new HashMap<>();
    private Connection connection;

    /** {@code rules} may be null; a call's key there is its number called, which all its tries share. */
    public PlatformServer(String name, Processor processor, Scheduler time, Duration holds, RuleBook rules) {
        this.name = name;
        this.processor = processor;
        this.time = time;
        this.holds = holds;
        this.rules = rules;
    }

    @Override
    public void opened(Connection up) {
        connection = up;
    }

    @Override
    public void received(ByteBuffer bytes) {
        try {
            assembler.feed(bytes, frame -> message(Message.read(frame)));
        } catch (BadInput e) {
            connection.close(CloseReason.PROTOCOL_ERROR);
        }
    }

    private void message(Message message) {
        String id = message.id();
        switch (message.type) {
            case Message.SET_UP -> {
                Session session = new Session(id, message.text(Message.NUMBER), message.value(Message.DESCRIPTION));
                open.put(id, session);
                if (rules != null) {
                    rules.sent(session.key, name, nowMs());
                }
                processor.setUp(id, session);
            }
            case Message.RELEASE -> {
                Session session = open.remove(id);
                if (session != null) {
                    session.over(!session.stands);
                    processor.released(id);
                }
                connection.write(new Message(Message.RELEASE_HEARD, id).bytes());
            }
            case Message.TEST -> connection.write(new Message(Message.TEST_RESULT, id).withCause(1).bytes());
            default -> throw new BadInput("a message of type " + message.type);
        }
    }

    private double nowMs() {
        return pathlane.config.Millis.of(time.now());
    }

    private void release(String id, int cause) {
        if (connection != null) {
            connection.write(new Message(Message.RELEASE, id).withCause(cause).bytes());
        }
    }

    @Override
    public void closed(CloseReason end) {
        connection = null;
        open.forEach((id, session) -> {
            if (!session.stands) {
                session.over(true);
                processor.released(id);
            }
        });
        open.values().removeIf(session -> !session.stands);
    }

    private final class Session implements Processor.Caller {

        private final String id;
        private final String key;
        private final byte[] description;
        private boolean stands;
        private boolean over;

        Session(String id, String key, byte[] description) {
            this.id = id;
            this.key = key;
            this.description = description == null ? new byte[0] : description;
        }

        void over(boolean lost) {
            if (!over && rules != null) {
                rules.over(key, lost, nowMs());
            }
            over = true;
        }

        @Override
        public void answered() {
            stands = true;
            if (connection != null) {
                connection.write(new Message(Message.ANSWER, id).with(Message.DESCRIPTION, description).bytes());
            }
            time.after(holds, () -> {
                if (open.remove(id) != null) {
                    processor.released(id);
                    over(false);
                    release(id, Cause.OVER);
                }
            });
        }

        @Override
        public void turnedAway(Duration wait) {
            open.remove(id);
            over(false);
            release(id, FULL);
        }

        @Override
        public void cut() {
            if (open.remove(id) != null) {
                over(true);
                release(id, Cause.CUT);
            }
        }
    }
}
