package pathlane;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import pathlane.config.NodeConfig;
import pathlane.core.CallController;
import pathlane.net.EventLoop;
import pathlane.net.Network;
import pathlane.platform.BusFeed;
import pathlane.platform.CallerSession;
import pathlane.platform.ServerLink;
import pathlane.platform.ServerList;

/** One real call controller: puts the parts together and sees to an orderly end. */
final class Node {

    private static final Logger LOG = System.getLogger("node");
    /** After SIGTERM callers still come for 0.4 s, and what they ask on open connections for 0.2 s more. */
    private static final Duration STILL_COMING = Duration.ofMillis(750);
    private static final Duration END_CHECK = Duration.ofMillis(20);

    private final EventLoop loop = new EventLoop();
    private final Network network = new Network(loop);
    private final CountDownLatch ended = new CountDownLatch(1);
    private final NodeConfig config;
    private CallController controller;
    private AutoCloseable listener;
    private boolean ending;

    private Node(NodeConfig config) {
        this.config = config;
    }

    /** Starts a call controller; it serves until the process is asked to end. */
    static void start(NodeConfig config) {
        Node node = new Node(config);
        CompletableFuture<Void> built = new CompletableFuture<>();
        node.loop.execute(() -> {
            try {
                node.build();
                built.complete(null);
            } catch (RuntimeException e) {
                built.completeExceptionally(e);
            }
        });
        try {
            built.get();
            node.listener = node.network.listen(config.listen(),
                    () -> new CallerSession(node.controller, () -> !node.ending));
        } catch (ExecutionException | InterruptedException | IllegalArgumentException e) {
            node.loop.close();
            throw new IllegalArgumentException(e instanceof ExecutionException ? e.getCause().getMessage()
                    : e.getMessage(), e);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(node::end, "end"));
        LOG.log(Level.INFO, "call controller {0} serves on {1}", config.name(), config.listen());
    }

    private void build() {
        controller = new CallController(config.settings(), config.seed(), loop,
                line -> new ServerLink(line, config.settings(), () -> controller, network, loop));
        ServerList.known(config).forEach(event -> controller.listed(event.whole(), event.lines()));
        if (config.bus() != null) {
            new BusFeed(config.bus(), config.knownOffset(), network, loop,
                    event -> controller.listed(event.whole(), event.lines())).start();
        }
    }

    /** Goes on serving until nothing more comes and all that was taken is answered. */
    private void end() {
        loop.execute(() -> {
            ending = true;
            LOG.log(Level.INFO, "asked to end: {0} calls are open", controller.openCalls());
            Instant until = loop.now().plus(STILL_COMING);
            endWhenAnswered(until);
        });
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void endWhenAnswered(Instant until) {
        if (loop.now().isBefore(until) || controller.openCalls() > 0) {
            loop.after(END_CHECK, () -> endWhenAnswered(until));
        } else {
            LOG.log(Level.INFO, "ended: {0}", controller.counters().line());
            loop.after(END_CHECK, ended::countDown);   // what was just written leaves first
        }
    }
}
