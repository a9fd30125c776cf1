package pathlane.platform;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import pathlane.config.Settings;
import pathlane.core.CallController;
import pathlane.core.CallerPort;
import pathlane.core.ConnectionEnd;
import pathlane.core.SetUp;
import pathlane.decision.Gateway.Ending;
import pathlane.link.Connection;
import pathlane.link.Protocol;

/** One connection from callers: many calls share it, each named by its id. */
public final class CallerSession implements Protocol, CallerPort {

    private static final Logger LOG = System.getLogger("callers");
    private static final byte[] NOTHING = {};

    private final CallController controller;
    private final Settings settings;
    private final BooleanSupplier ready;
    private final FrameAssembler assembler = Message.assembler();
    private Connection connection;

    /** {@code ready} is asked at each test. */
    public CallerSession(CallController controller, BooleanSupplier ready) {
        this.controller = controller;
        this.settings = controller.settings();
        this.ready = ready;
    }

    @Override
    public void opened(Connection up) {
        connection = up;
        controller.callerOpened(this);
    }

    @Override
    public void received(ByteBuffer bytes) {
        try {
            assembler.feed(bytes, frame -> message(Message.read(frame)));
        } catch (BadInput e) {
            LOG.log(Level.WARNING, "caller {0} closed for bad input: {1}", connection.remote(), e.getMessage());
            bytes.position(bytes.limit());
            connection.close(ConnectionEnd.BAD_INPUT);
        }
    }

    private void message(Message message) {
        switch (message.type) {
            case Message.SET_UP -> setUp(message);
            case Message.RELEASE -> {
                if (!controller.callerReleased(message.id(), NOTHING)) {
                    controller.releaseEverywhere(message.id());
                }
            }
            case Message.TEST -> connection.write(new Message(Message.TEST_RESULT, message.call)
                    .withCause(ready.getAsBoolean() ? 1 : 0).bytes());
            case Message.PROGRESS, Message.RELEASE_HEARD -> { }
            default -> throw new BadInput("a message of type " + message.type);
        }
    }

    private void setUp(Message message) {
        byte[] description = message.value(Message.DESCRIPTION);
        controller.setUp(new SetUp(message.id(), settings.classNamed(message.text(Message.CLASS)),
                message.text(Message.NUMBER), Duration.ofMillis(whole(message.text(Message.PATIENCE))),
                firstChoice(message.text(Message.FIGURES)), description == null ? NOTHING : description), this);
    }

    private static int firstChoice(String figures) {
        for (String figure : figures.split(";")) {
            if (figure.startsWith("dest:")) {
                return (int) whole(figure.substring("dest:".length()));
            }
        }
        return -1;
    }

    private static long whole(String text) {
        try {
            return Integer.parseInt(text.strip());
        } catch (NumberFormatException e) {
            throw new BadInput("'" + text + "' is not a whole number");
        }
    }

    @Override
    public void closed(ConnectionEnd end) {
        if (connection != null) {
            controller.callerClosed(this);
        }
    }

    // ---- towards the caller

    @Override
    public void answer(String call, byte[] description) {
        connection.write(new Message(Message.ANSWER, call).with(Message.DESCRIPTION, description).bytes());
    }

    @Override
    public void refuse(String call, Duration comeBackAfter) {
        Message refusal = new Message(Message.RELEASE, call).withCause(Cause.TURNED_AWAY);
        if (comeBackAfter.toMillis() > 0) {
            refusal.with(Message.COME_BACK, Long.toString(comeBackAfter.toMillis()));
        }
        connection.write(refusal.bytes());
    }

    @Override
    public void fail(String call) {
        connection.write(new Message(Message.RELEASE, call).withCause(Cause.FAILED).bytes());
    }

    @Override
    public void release(String call, Ending how) {
        connection.write(new Message(Message.RELEASE, call).withCause(Cause.ofRelease(how)).bytes());
    }
}
