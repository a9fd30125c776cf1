package pathlane.lab.scale;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import pathlane.bus.BusFeed;
import pathlane.bus.ServerList;
import pathlane.config.Millis;
import pathlane.config.Settings;
import pathlane.core.ServerEndpoint;
import pathlane.decision.RoutingPolicy;
import pathlane.decision.policy.AdaptiveRoutingPolicy;
import pathlane.net.EventLoop;
import pathlane.net.Network;

/**
 * Hollow controllers as they are without scoped watches: each follows the event bus, and its decision module is told of
 * every server. On the loop's thread.
 */
final class BaselineControllers {

    /** A controller only tells the bus the last event that it knows. */
    private static final long MOST_UNWRITTEN = 64 * 1024;

    private final EventLoop loop;
    private final Network network;
    private final Settings settings;
    private final List<Controller> controllers = new ArrayList<>();

    BaselineControllers(EventLoop loop, Network network, Settings settings) {
        this.loop = loop;
        this.network = network;
        this.settings = settings;
    }

    void start(ControlMessage.StartBaseline start) {
        for (int number = 0; number < start.controllers(); number++) {
            Controller controller = new Controller(number);
            controllers.add(controller);
            controller.feed.follow(new InetSocketAddress(start.host(), start.port()));
        }
    }

    ControlMessage.BaselineStatus status() {
        return new ControlMessage.BaselineStatus(controllers.size(),
                controllers.stream().mapToLong(controller -> controller.events).min().orElse(0),
                controllers.stream().mapToLong(controller -> controller.dialer.received()).sum());
    }

    private final class Controller {

        private final CountedDialer dialer = new CountedDialer(network.connector(MOST_UNWRITTEN));
        private final Map<Long, ServerEndpoint> listed = new HashMap<>();
        private final AdaptiveRoutingPolicy logic;
        private final BusFeed feed;
        private long events;

        Controller(int number) {
            logic = new AdaptiveRoutingPolicy(settings, number, new IdleActions(loop, this::woken));
            feed = new BusFeed(0, dialer, loop, new SplittableRandom(number), this::told, () -> {});
        }

        /** Keeps the list beside the decision module, as the program does. */
        private void told(ServerList list) {
            events++;
            if (list.isComplete()) {
                listed.clear();
            }
            List<RoutingPolicy.ListedServer> lines = new ArrayList<>();
            for (ServerEndpoint line : list.endpoints()) {
                listed.put(line.id(), line);
                lines.add(HollowController.listed(line));
            }
            logic.serversListed(nowMillis(), list.isComplete(), lines);
        }

        private void woken() {
            logic.timerFired(nowMillis());
        }

        private double nowMillis() {
            return Millis.of(loop.now());
        }
    }
}
