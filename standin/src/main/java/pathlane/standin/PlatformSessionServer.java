package pathlane.standin;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import pathlane.core.CloseReason;
import pathlane.core.Scheduler;
import pathlane.transport.Connection;
import pathlane.transport.Protocol;
import pathlane.wire.Cause;
import pathlane.wire.FrameAssembler;
import pathlane.wire.Message;
import pathlane.wire.ProtocolException;

/**
 * A session server's front end for one connection of the platform's protocol: answers call requests as the processor
 * decides, releases each call after its hold time, and answers test messages.
 */
public final class PlatformSessionServer implements Protocol {

    private static final int CAUSE_PROCESSOR_FULL = 34;

    private final String name;
    private final Processor processor;
    private final Scheduler time;
    private final Duration holdTime;
    private final AttemptRuleChecker rules;
    private final FrameAssembler assembler = Message.assembler();
    private final Map<String, Session> sessions = new HashMap<>();
    private Connection connection;

    /** {@code rules} may be null; a call's key there is its called number, which all its attempts share. */
    public PlatformSessionServer(String name, Processor processor, Scheduler time, Duration holdTime,
            AttemptRuleChecker rules) {
        this.name = name;
        this.processor = processor;
        this.time = time;
        this.holdTime = holdTime;
        this.rules = rules;
    }

    @Override
    public void opened(Connection opened) {
        connection = opened;
    }

    @Override
    public void received(ByteBuffer bytes) {
        try {
            assembler.feed(bytes, frame -> message(Message.read(frame)));
        } catch (ProtocolException e) {
            connection.close(CloseReason.PROTOCOL_ERROR);
        }
    }

    private void message(Message message) {
        String id = message.id();
        switch (message.type) {
            case Message.CALL_REQUEST -> {
                Session session = new Session(id, message.text(Message.DESTINATION), message.value(Message.DESCRIPTION));
                sessions.put(id, session);
                if (rules != null) {
                    rules.sent(session.key, name, nowMs());
                }
                processor.requestReceived(id, session);
            }
            case Message.RELEASE -> {
                Session session = sessions.remove(id);
                if (session != null) {
                    session.over(!session.isEstablished);
                    processor.released(id);
                }
                connection.write(new Message(Message.RELEASE_COMPLETE, id).bytes());
            }
            case Message.HEALTH_CHECK -> connection.write(new Message(Message.HEALTH_CHECK_RESULT, id).withCause(1).bytes());
            default -> throw new ProtocolException("unexpected message type " + message.type);
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
    public void closed(CloseReason reason) {
        connection = null;
        sessions.forEach((id, session) -> {
            if (!session.isEstablished) {
                session.over(true);
                processor.released(id);
            }
        });
        sessions.values().removeIf(session -> !session.isEstablished);
    }

    private final class Session implements Processor.Client {

        private final String id;
        private final String key;
        private final byte[] description;
        private boolean isEstablished;
        private boolean isOver;

        Session(String id, String key, byte[] description) {
            this.id = id;
            this.key = key;
            this.description = description == null ? new byte[0] : description;
        }

        void over(boolean lost) {
            if (!isOver && rules != null) {
                rules.ended(key, lost, nowMs());
            }
            isOver = true;
        }

        @Override
        public void answered() {
            isEstablished = true;
            if (connection != null) {
                connection.write(new Message(Message.ANSWER, id).with(Message.DESCRIPTION, description).bytes());
            }
            time.after(holdTime, () -> {
                if (sessions.remove(id) != null) {
                    processor.released(id);
                    over(false);
                    release(id, Cause.NORMAL_CLEARING);
                }
            });
        }

        @Override
        public void rejected(Duration wait) {
            sessions.remove(id);
            over(false);
            release(id, CAUSE_PROCESSOR_FULL);
        }

        @Override
        public void lost() {
            if (sessions.remove(id) != null) {
                over(true);
                release(id, Cause.RESET);
            }
        }
    }
}
