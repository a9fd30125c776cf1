package pathlane;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import pathlane.config.Settings;
import pathlane.config.file.ClientLimits;
import pathlane.config.file.ConfigFile;
import pathlane.config.file.DiameterConfig;
import pathlane.config.file.NodeConfig;
import pathlane.core.CallController;
import pathlane.core.CallReplication;
import pathlane.core.Counters;
import pathlane.diameter.DiameterFront;
import pathlane.directory.DirectoryNode;
import pathlane.directory.DiscoveryFile;
import pathlane.metrics.CollectdReporter;
import pathlane.metrics.GraphiteReporter;
import pathlane.net.EventLoop;
import pathlane.net.Network;
import pathlane.platform.PlatformFront;
import pathlane.takeover.GroupFile;
import pathlane.takeover.GroupNode;
import pathlane.transport.Protocol;

/** A running call controller process: wires its components together and shuts it down gracefully. */
final class Node {

    private static final Logger LOG = System.getLogger("node");
    /** After SIGTERM, clients still connect for up to 0.4 s, and send requests on open connections for 0.2 s more. */
    private static final Duration DRAIN_PERIOD = Duration.ofMillis(750);
    /** How long a start waits for the event bus. */
    private static final Duration MAX_BUS_WAIT = Duration.ofSeconds(3);
    private static final Duration SHUTDOWN_POLL_INTERVAL = Duration.ofMillis(20);
    /** How long new connections and requests can delay the shutdown beyond {@link #DRAIN_PERIOD}. */
    private static final Duration MAX_EXTRA_DRAIN = Duration.ofSeconds(2);
    /** Maximum wait for pending writes, and then again for clients to close their connections. */
    private static final Duration FLUSH_TIMEOUT = Duration.ofMillis(500);

    /** A protocol front: its call controller, the protocol for client connections and their limits, how it disconnects
     * from its peers and reloads its configuration, and when its server list is current. */
    private record Front(CallController controller, Supplier<Protocol> clientProtocol, ClientLimits clientLimits,
            Runnable disconnectPeers,
            Runnable reload, Future<Void> serverListCurrent, Optional<GroupNode> group) {}

    private final EventLoop loop = new EventLoop();
    private final Network network = new Network(loop);
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile Front front;
    private volatile boolean isShuttingDown;
    /** Whether clients may have connected; a process that is stopped earlier has nothing to drain. */
    private volatile boolean mayHaveClients;

    /** Starts a call controller on the platform; it serves until the process is stopped. */
    static void startPlatform(Path file, Optional<Path> groupFile, SighupHandler sighup) {
        ConfigFile configFile = new ConfigFile(file);
        NodeConfig config = configFile.read();
        Node node = new Node();
        node.serve(config.name(), config.listen(), sighup, () -> {
            Optional<GroupNode> group = node.createGroup(groupFile, config.name(), config.settings());
            PlatformFront platform = new PlatformFront(config, node.network, node.loop, () -> !node.isShuttingDown,
                    configFile::readIfChanged, replication(group));
            return new Front(platform.controller(), platform::accept, config.clientLimits(), () -> {},
                    () -> platform.reload(configFile.read()), platform.initialSync(), group);
        });
    }

    /**
     * Starts a call controller that gets the server lists of its services from discovery instead of the event bus. This is
     * a separate method so that no discovery class is loaded unless a discovery file is given.
     */
    static void startWithDiscovery(Path file, Path discoveryFile, SighupHandler sighup) {
        NodeConfig config = new ConfigFile(file).read();
        DiscoveryFile discovery = DiscoveryFile.read(discoveryFile, config.name());
        Node node = new Node();
        node.serve(config.name(), config.listen(), sighup, () -> {
            DirectoryNode directory = new DirectoryNode(discovery, node.network, node.loop);
            PlatformFront platform = new PlatformFront(config, node.network, node.loop, () -> !node.isShuttingDown,
                    Optional::empty, CallReplication.NONE, Optional.of(directory));
            directory.start(platform.controller());
            return new Front(platform.controller(), platform::accept, config.clientLimits(), directory::stop,
                    directory::reload, platform.initialSync(), Optional.empty());
        });
    }

    /** Starts a call controller for Diameter peers; it serves until the process is stopped. */
    static void startDiameter(Path file, Optional<Path> groupFile, SighupHandler sighup) {
        DiameterConfig config = DiameterConfig.read(file);
        Node node = new Node();
        SplittableRandom random = new SplittableRandom();
        node.serve(config.host(), config.listen(), sighup, () -> {
            Optional<GroupNode> group = node.createGroup(groupFile, config.host(), config.settings());
            DiameterFront diameter = new DiameterFront(config, random.nextLong(), node.network, node.loop, random,
                    replication(group));
            if (config.graphite() != null) {
                new GraphiteReporter(config.graphite(), diameter.controller().counters(), node.network, node.loop)
                        .start();
            }
            if (config.collectd() != null) {
                new CollectdReporter(config.collectd(), config.host(), diameter.controller().counters(), node.network,
                        node.loop).start();
            }
            return new Front(diameter.controller(), diameter::accept, config.clientLimits(),
                    diameter::disconnect, () -> {
                        throw new IllegalArgumentException("the Diameter front reads its configuration only at startup");
                    }, CompletableFuture.completedFuture(null), group);
        });
    }

    /** Creates the group node if a group file is given; otherwise none of its classes is loaded. */
    private Optional<GroupNode> createGroup(Optional<Path> file, String name, Settings settings) {
        return file.map(path -> new GroupNode(GroupFile.read(path), name, settings, network, loop));
    }

    private static CallReplication replication(Optional<GroupNode> group) {
        return group.isPresent() ? group.get().replication() : CallReplication.NONE;
    }

    private void serve(String name, InetSocketAddress listen, SighupHandler sighup, Supplier<Front> build) {
        Runtime.getRuntime().addShutdownHook(new Thread(this::shutDown, "end"));
        CompletableFuture<Front> built = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                front = build.get();
                built.complete(front);
            } catch (RuntimeException e) {
                built.completeExceptionally(e);
            }
        });
        InetSocketAddress bound;
        try {
            awaitServerList(built.get().serverListCurrent());
            if (front.group().isPresent()) {
                front.group().get().listen();
                loop.execute(() -> front.group().get().start(front.controller()));
            }
            mayHaveClients = true;
            bound = network.listen(listen, front.clientProtocol(), front.clientLimits().maxConnections(),
                    front.clientLimits().maxUnwrittenBytes());
        } catch (ExecutionException e) {
            loop.close();
            throw new IllegalArgumentException(e.getCause().getMessage(), e);
        } catch (InterruptedException | IllegalArgumentException e) {
            mayHaveClients = false;
            loop.close();
            throw new IllegalArgumentException(e.getMessage(), e);
        }
        sighup.onSignal(() -> loop.execute(this::reload));
        LOG.log(Level.INFO, "call controller {0} serves on {1}", name, bound);
        if (sighup.isIgnored()) {
            LOG.log(Level.WARNING, "SIGHUP was ignored when the program was started: it does not trigger a reload");
        }
    }

    /**
     * Keeps a start from sending calls to servers that the event bus has already reported as draining or gone: the server
     * list in the configuration may be outdated. No client is served until the bus has been read or has timed out.
     */
    private void awaitServerList(Future<Void> serverListCurrent) throws InterruptedException, ExecutionException {
        try {
            serverListCurrent.get(MAX_BUS_WAIT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            LOG.log(Level.WARNING, "the event bus can't be reached; using the server list in the configuration");
        }
    }

    /** Reloads the configuration; an invalid one changes nothing. */
    private void reload() {
        front.group().ifPresent(GroupNode::reload);
        try {
            front.reload().run();
            LOG.log(Level.INFO, "configuration read again");
        } catch (IllegalArgumentException e) {
            LOG.log(Level.WARNING, "configuration not read again, the old one stays: {0}", e.getMessage());
        }
    }

    /** Keeps serving until no more requests arrive and every accepted call has its final answer. */
    private void shutDown() {
        if (!mayHaveClients) {
            return;   // startup had not finished: no client was accepted
        }
        loop.execute(() -> {
            isShuttingDown = true;
            LOG.log(Level.INFO, "asked to end: {0} calls are open", front.controller().openCalls());
            shutDownWhenIdle(loop.now().plus(DRAIN_PERIOD), Instant.MIN, -1);
        });
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Shuts down once no call is open and no request has arrived. When the event loop is behind, a call request may have
     * arrived but not been read: a connection is accepted in one iteration of the loop and read in the next. So traffic
     * counts as ended only after a complete poll interval that began after the drain period brought nothing.
     */
    private void shutDownWhenIdle(Instant drainedAt, Instant previousCheck, long previouslyAccepted) {
        Instant now = loop.now();
        long accepted = network.acceptedCount() + front.controller().counters().value(Counters.Name.CALL_REQUESTS);
        boolean isQuiet = accepted == previouslyAccepted && !previousCheck.isBefore(drainedAt)
                || now.isAfter(drainedAt.plus(MAX_EXTRA_DRAIN));
        if (front.controller().openCalls() > 0 || !isQuiet) {
            loop.after(SHUTDOWN_POLL_INTERVAL, () -> shutDownWhenIdle(drainedAt, now, accepted));
        } else {
            front.group().ifPresentOrElse(group -> group.leave(this::disconnect), this::disconnect);
        }
    }

    private void disconnect() {
        front.disconnectPeers().run();
        LOG.log(Level.INFO, "ended: {0}", front.controller().counters().summary());
        runWhen(network::hasNoUnsentBytes, loop.now().plus(FLUSH_TIMEOUT), () -> {
            network.closeAcceptedConnections();
            runWhen(network::areAcceptedConnectionsClosed, loop.now().plus(FLUSH_TIMEOUT), ended::countDown);
        });
    }

    /** Runs the next step once the condition holds or the deadline has passed. */
    private void runWhen(BooleanSupplier condition, Instant deadline, Runnable next) {
        if (condition.getAsBoolean() || !loop.now().isBefore(deadline)) {
            next.run();
        } else {
            loop.after(SHUTDOWN_POLL_INTERVAL, () -> runWhen(condition, deadline, next));
        }
    }
}
