package pathlane.exchange;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pathlane.core.CloseReason;
import pathlane.standin.RuleBook;
import pathlane.standin.VirtualTime;
import pathlane.transport.Connection;
import pathlane.transport.Connector;
import pathlane.transport.Protocol;
import pathlane.wire.FrameAssembler;
import pathlane.wire.Message;

/**
 * Session servers in any number, in virtual time: each answers a set-up after 30 ms and ends the call after 3 s, on the
 * connection of its set-up, else on any that is open, else on the next. They tell their lines each second while they
 * run; one that drains takes no connection and tells none. What breaks a rule is written down.
 */
final class ServerField implements Connector {

    private static final Duration ROUND_TRIP = Duration.ofMillis(10);
    private static final Duration WORK = Duration.ofMillis(30);
    private static final Duration HOLDS = Duration.ofSeconds(3);
    private static final Duration TELLS = Duration.ofSeconds(1);
    private static final Duration GRACE = Duration.ofSeconds(1);
    private static final int OVER = 16;

    private final class Server {
        private final int port;
        private final Set<Line> lines = new LinkedHashSet<>();
        private final List<Message> waiting = new ArrayList<>();
        private Instant drainTold = Instant.MAX;

        private Server(int port) {
            this.port = port;
        }

        private boolean drains() {
            return drainTold != Instant.MAX;
        }

        private void tell() {
            if (!drains()) {
                lines.forEach(this::tell);
                time.after(TELLS, this::tell);
            }
        }

        private void tell(Line line) {
            line.send(new Message(Message.GROUP_STATE, 0).with(Message.STATE, "free:1000;size:1000"));
        }

        private void send(Line own, Message message) {
            Line way = lines.contains(own) ? own : lines.stream().findFirst().orElse(null);
            if (way == null) {
                waiting.add(message);
            } else {
                way.send(message);
            }
        }

        private void received(Line line, Message message) {
            if (message.type != Message.SET_UP) {
                return;
            }
            Instant now = time.now();
            if (drains() && now.isAfter(drainTold.plus(GRACE))) {
                broken.add("set-up " + message.id() + " came to " + port + " " + Duration.between(drainTold, now)
                        + " after it was told that it drains");
            }
            setUps++;
            rules.sent(message.id(), Integer.toString(port), time.nowMs());
            time.after(WORK, () -> {
                rules.over(message.id(), false, time.nowMs());
                send(line, new Message(Message.ANSWER, message.call)
                        .with(Message.DESCRIPTION, message.value(Message.DESCRIPTION)));
            });
            time.after(WORK.plus(HOLDS), () -> send(line, new Message(Message.RELEASE, message.call).withCause(OVER)));
        }
    }

    private final class Line implements Connection {
        private final Server server;
        private final Protocol protocol;
        private final FrameAssembler assembler = Message.assembler();
        private boolean open = true;

        private Line(Server server, Protocol protocol) {
            this.server = server;
            this.protocol = protocol;
        }

        private void send(Message message) {
            if (open) {
                protocol.received(ByteBuffer.wrap(message.bytes()));
            }
        }

        @Override
        public void write(byte[] bytes) {
            if (open) {
                assembler.feed(ByteBuffer.wrap(bytes), frame -> server.received(this, Message.read(frame)));
            }
        }

        @Override
        public void close(CloseReason why) {
            if (open) {
                open = false;
                server.lines.remove(this);
                time.after(Duration.ZERO, () -> {
                    held--;
                    protocol.closed(why);
                });
            }
        }

        @Override
        public String remote() {
            return Integer.toString(server.port);
        }
    }

    private final VirtualTime time;
    private final Map<Integer, Server> servers = new HashMap<>();
    private final List<String> broken = new ArrayList<>();
    private final RuleBook rules = new RuleBook(200);
    private int held;
    private int mostHeld;
    private int dials;
    private int setUps;

    ServerField(VirtualTime time) {
        this.time = time;
    }

    void add(int port) {
        Server server = new Server(port);
        servers.put(port, server);
        server.tell();
    }

    /** A call that was set up there from here before the start ends now, and its end waits for a connection. */
    void endsOlder(int port, long call) {
        servers.get(port).waiting.add(new Message(Message.RELEASE, call).withCause(OVER));
    }

    /** It drains from now on, and the controllers are told so now. */
    void drain(int port) {
        servers.get(port).drainTold = time.now();
    }

    @Override
    public void connect(InetSocketAddress address, Duration timeout, Protocol protocol) {
        dials++;
        held++;
        mostHeld = Math.max(mostHeld, held);
        time.after(ROUND_TRIP, () -> {
            Server server = servers.get(address.getPort());
            if (server == null || server.drains()) {
                held--;
                protocol.closed(CloseReason.REFUSED);
                return;
            }
            Line line = new Line(server, protocol);
            server.lines.add(line);
            protocol.opened(line);
            server.tell(line);
            List<Message> kept = List.copyOf(server.waiting);
            server.waiting.clear();
            kept.forEach(line::send);
        });
    }

    /** The most descriptors that connections to session servers took at once, those that were being dialled included. */
    int mostHeld() {
        return mostHeld;
    }

    int dials() {
        return dials;
    }

    int setUps() {
        return setUps;
    }

    List<String> broken() {
        List<String> all = new ArrayList<>(broken);
        all.addAll(rules.broken());
        return all;
    }
}
