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
import pathlane.config.file.CallerLimits;
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

/** One real call controller: puts the parts together and sees to an orderly end. */
final class Node {

    private static final Logger LOG = System.getLogger("node");
    /** After SIGTERM callers still come for 0.4 s, and what they ask on open connections for 0.2 s more. */
    private static final Duration STILL_COMING = Duration.ofMillis(750);
    /** A start waits so long for the event bus. */
    private static final Duration MOST_WITHOUT_BUS = Duration.ofSeconds(3);
    private static final Duration END_CHECK = Duration.ofMillis(20);
    /** Callers that keep coming hold an end up for so long after {@link #STILL_COMING} at the most. */
    private static final Duration COMING_MOST = Duration.ofSeconds(2);
    /** What was written last, and then the callers' own closes, are each waited for so long at the most. */
    private static final Duration LAST_WORDS = Duration.ofMillis(500);

    /** A front: who decides its calls, what meets its callers, and how it parts from its peers at the end, and what it
     * does when its configuration is to be read again. */
    private record Front(CallController controller, Supplier<Protocol> callers, CallerLimits limits, Runnable part,
            Runnable reload, Future<Void> current, Optional<GroupNode> group) {}

    private final EventLoop loop = new EventLoop();
    private final Network network = new Network(loop);
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile Front front;
    private volatile boolean ending;
    /** Whether callers may have been taken: a program that is asked to end before that has nothing to see to. */
    private volatile boolean listens;

    /** Starts a call controller on the platform; it serves until the process is asked to end. */
    static void startPlatform(Path file, Optional<Path> groupFile, SighupHandler sighup) {
        ConfigFile configFile = new ConfigFile(file);
        NodeConfig config = configFile.read();
        Node node = new Node();
        node.serve(config.name(), config.listen(), sighup, () -> {
            Optional<GroupNode> group = node.group(groupFile, config.name(), config.settings());
            PlatformFront platform = new PlatformFront(config, node.network, node.loop, () -> !node.ending,
                    configFile::readIfChanged, replication(group));
            return new Front(platform.controller(), platform::accept, config.callers(), () -> {},
                    () -> platform.reload(configFile.read()), platform.current(), group);
        });
    }

    /**
     * The same with the servers of its calls' services from discovery, in place of the event bus. A method of its own, so
     * that without an operator's file none of discovery is loaded.
     */
    static void startWithDiscovery(Path file, Path discoveryFile, SighupHandler sighup) {
        NodeConfig config = new ConfigFile(file).read();
        DiscoveryFile discovery = DiscoveryFile.read(discoveryFile, config.name());
        Node node = new Node();
        node.serve(config.name(), config.listen(), sighup, () -> {
            DirectoryNode directory = new DirectoryNode(discovery, node.network, node.loop);
            PlatformFront platform = new PlatformFront(config, node.network, node.loop, () -> !node.ending,
                    Optional::empty, CallReplication.NONE, Optional.of(directory));
            directory.start(platform.controller());
            return new Front(platform.controller(), platform::accept, config.callers(), directory::stop,
                    directory::reload, platform.current(), Optional.empty());
        });
    }

    /** Starts a call controller for Diameter peers; it serves until the process is asked to end. */
    static void startDiameter(Path file, Optional<Path> groupFile, SighupHandler sighup) {
        DiameterConfig config = DiameterConfig.read(file);
        Node node = new Node();
        SplittableRandom random = new SplittableRandom();
        node.serve(config.host(), config.listen(), sighup, () -> {
            Optional<GroupNode> group = node.group(groupFile, config.host(), config.settings());
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
            return new Front(diameter.controller(), diameter::accept, config.callers(),
                    diameter::disconnect, () -> {
                        throw new IllegalArgumentException("the Diameter front reads its file at its start alone");
                    }, CompletableFuture.completedFuture(null), group);
        });
    }

    /** The group's part, where an operator's file switches it on; else none of it is loaded. */
    private Optional<GroupNode> group(Optional<Path> file, String name, Settings settings) {
        return file.map(path -> new GroupNode(GroupFile.read(path), name, settings, network, loop));
    }

    private static CallReplication replication(Optional<GroupNode> group) {
        return group.isPresent() ? group.get().replication() : CallReplication.NONE;
    }

    private void serve(String name, InetSocketAddress listen, SighupHandler sighup, Supplier<Front> build) {
        Runtime.getRuntime().addShutdownHook(new Thread(this::end, "end"));
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
            await(built.get().current());
            if (front.group().isPresent()) {
                front.group().get().listen();
                loop.execute(() -> front.group().get().start(front.controller()));
            }
            listens = true;
            bound = network.listen(listen, front.callers(), front.limits().connections(), front.limits().unwritten());
        } catch (ExecutionException e) {
            loop.close();
            throw new IllegalArgumentException(e.getCause().getMessage(), e);
        } catch (InterruptedException | IllegalArgumentException e) {
            listens = false;
            loop.close();
            throw new IllegalArgumentException(e.getMessage(), e);
        }
        sighup.onSignal(() -> loop.execute(this::reload));
        LOG.log(Level.INFO, "call controller {0} serves on {1}", name, bound);
        if (sighup.isIgnored()) {
            LOG.log(Level.WARNING, "SIGHUP was ignored when the program was started: it asks for no reload here");
        }
    }

    /**
     * Guards rule three at a start: the configuration may hold an old list, and what the bus has told since counts as
     * told. Nobody is served before it has been read, or before it is clear that it can't be had.
     */
    private void await(Future<Void> current) throws InterruptedException, ExecutionException {
        try {
            current.get(MOST_WITHOUT_BUS.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            LOG.log(Level.WARNING, "the event bus can't be reached; serving by the list in the configuration");
        }
    }

    /** Reads the configuration again; one that can't be used changes nothing. */
    private void reload() {
        front.group().ifPresent(GroupNode::reload);
        try {
            front.reload().run();
            LOG.log(Level.INFO, "configuration read again");
        } catch (IllegalArgumentException e) {
            LOG.log(Level.WARNING, "configuration not read again, the old one stays: {0}", e.getMessage());
        }
    }

    /** Goes on serving until nothing more comes and all that was taken is answered. */
    private void end() {
        if (!listens) {
            return;   // the start had not finished: nobody was taken
        }
        loop.execute(() -> {
            ending = true;
            LOG.log(Level.INFO, "asked to end: {0} calls are open", front.controller().openCalls());
            endWhenAnswered(loop.now().plus(STILL_COMING), Instant.MIN, -1);
        });
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Guards callers whose set-up has come and has not been read, since the loop is behind: a wait that is over as the time
     * is up has looked at no connection, one is accepted in one turn of the loop and read in the next. So nothing more comes
     * only once a whole wait that began after the time was up has brought nothing.
     */
    private void endWhenAnswered(Instant until, Instant checkedBefore, long cameBefore) {
        Instant now = loop.now();
        long accepted = network.accepted() + front.controller().counters().value(Counters.Name.CALL_REQUESTS);
        boolean quiet = accepted == cameBefore && !checkedBefore.isBefore(until) || now.isAfter(until.plus(COMING_MOST));
        if (front.controller().openCalls() > 0 || !quiet) {
            loop.after(END_CHECK, () -> endWhenAnswered(until, now, accepted));
        } else {
            front.group().ifPresentOrElse(group -> group.leave(this::part), this::part);
        }
    }

    private void part() {
        front.part().run();
        LOG.log(Level.INFO, "ended: {0}", front.controller().counters().summary());
        when(network::hasWritten, loop.now().plus(LAST_WORDS), () -> {
            network.partFromCallers();
            when(network::hasParted, loop.now().plus(LAST_WORDS), ended::countDown);
        });
    }

    /** Goes on once something holds, or has not in time. */
    private void when(BooleanSupplier holds, Instant until, Runnable next) {
        if (holds.getAsBoolean() || !loop.now().isBefore(until)) {
            next.run();
        } else {
            loop.after(END_CHECK, () -> when(holds, until, next));
        }
    }
}
