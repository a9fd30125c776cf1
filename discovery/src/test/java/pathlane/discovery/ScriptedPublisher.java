package pathlane.discovery;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import pathlane.core.CloseReason;
import pathlane.discovery.WatchMessage.Acknowledge;
import pathlane.discovery.WatchMessage.Subscribe;
import pathlane.group.AuthenticatedLink;
import pathlane.transport.Protocol;

/** A publisher that sends what a test specifies and records what it receives. */
final class ScriptedPublisher implements AuthenticatedLink.Listener {

    final List<Subscribe> subscribed = new ArrayList<>();
    final List<Acknowledge> acknowledged = new ArrayList<>();
    final InetSocketAddress address;
    private final VirtualNetwork network;
    private final String name;
    private AuthenticatedLink link;
    private int openConnections;
    private boolean isFirstResponseSent;
    /** The response to the first message of each connection; null for none. */
    WatchMessage.Response firstResponse =
            new WatchMessage.Accepted(new PublisherStatus(true, new Revision(1, 1), Duration.ZERO));

    ScriptedPublisher(VirtualNetwork network, String name, int port) {
        this.network = network;
        this.name = name;
        this.address = new InetSocketAddress("127.0.0.1", port);
        network.listen(address, this::accept);
    }

    private Protocol accept() {
        AuthenticatedLink accepted = new AuthenticatedLink(network.common(name), false, this);
        link = accepted;
        openConnections++;
        isFirstResponseSent = false;
        return accepted;
    }

    boolean isConnected() {
        return openConnections > 0;
    }

    void respondWithAcceptance(boolean complete, Revision revision, Duration staleFor) {
        firstResponse = new WatchMessage.Accepted(new PublisherStatus(complete, revision, staleFor));
    }

    void send(WatchMessage message) {
        link.send(WatchCodec.bytes(message));
        network.pass(Duration.ofMillis(5));
    }

    void sendIfConnected(WatchMessage message) {
        if (isFirstResponseSent && isConnected()) {
            send(message);
        }
    }

    void update(long batch, ServiceChange... changes) {
        send(new WatchMessage.Update(batch, List.of(changes)));
    }

    void stop() {
        network.stopListening(address);
        if (link != null) {
            link.close(CloseReason.SHUTDOWN);
        }
    }

    void restart() {
        network.listen(address, this::accept);
    }

    @Override
    public void authenticated(AuthenticatedLink up, String subscriber) {}

    @Override
    public void received(byte[] payload) {
        WatchMessage message = WatchCodec.message(payload);
        if (message instanceof Subscribe subscribe) {
            subscribed.add(subscribe);
            if (firstResponse != null && !isFirstResponseSent) {
                isFirstResponseSent = true;
                link.send(WatchCodec.bytes(firstResponse));
            }
        } else if (message instanceof Acknowledge acknowledge) {
            acknowledged.add(acknowledge);
        }
    }

    @Override
    public void closed(CloseReason end) {
        openConnections--;
    }
}
