package pathlane.lab.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import pathlane.core.ServerEndpoint;
import pathlane.discovery.Catalogue;
import pathlane.discovery.Revision;
import pathlane.discovery.ServiceState;
import pathlane.discovery.Source;
import pathlane.net.EventLoop;
import pathlane.net.Network;
import pathlane.transport.RateLimitedLog;

/** The real source in the run's own process, over real sockets: its changes are made here. */
final class SourceHost implements AutoCloseable {

    private static final long EPOCH = 1;

    private final ScalePlan plan;
    private final FleetLayout layout;
    private final Topology topology;
    private final EventLoop loop = new EventLoop();
    private final Network network = new Network(loop);
    private final CommitLog commits;
    private final Source source;
    private final List<RegionGate> gates = new ArrayList<>();
    private final RootView rootView;
    /** The number of the last revision of each service. */
    private final Map<String, Long> lastRevisions = new HashMap<>();

    SourceHost(ScalePlan plan, FleetLayout layout, Topology topology, RunFolder folder) throws InterruptedException {
        this.plan = plan;
        this.layout = layout;
        this.topology = topology;
        this.commits = CommitLog.create(folder.commitLogFile());
        this.source = OnLoop.call(loop, () -> new Source(EPOCH, ScaleTerms.publisher(plan.relays()),
                RunFolder.linkCommon("source", folder.readKeys(), loop, new RateLimitedLog("source", loop)), loop,
                new SplittableRandom(plan.fleet().seed())));
        this.rootView = new RootView(() -> source.publisher().progress(), loop);
    }

    /** Fills the catalogue and listens, at an address for each region. */
    void start() throws InterruptedException {
        OnLoop.run(loop, this::fill);
        for (Topology.Publisher address : topology.sources()) {
            RegionGate gate = new RegionGate();
            gates.add(gate);
            network.listen(address.socketAddress(), () -> gate.guard(source.accept()), plan.relays().subscribers(),
                    ScaleTerms.MOST_UNWRITTEN);
        }
    }

    private void fill() {
        for (int service = 0; service < layout.services(); service++) {
            commit(layout.serviceName(service), layout.lines(service), List.of(), Optional.of(configuration(0)));
        }
        source.catalogue().complete();
    }

    /** A configuration that differs from that of every other number. */
    String configuration(long number) {
        String text = "version = " + number + "\n";
        return text + "x".repeat(Math.max(0, plan.fleet().configurationBytes() - text.length()));
    }

    /** Changes a service; something must differ. On the loop. */
    Revision commit(String service, List<ServerEndpoint> upserted, List<Long> removed, Optional<String> configuration) {
        Instant now = loop.now();
        Revision expected = source.catalogue().revision().next();
        commits.record(expected.number(), lastRevisions.getOrDefault(service, 0L), now);
        lastRevisions.put(service, expected.number());
        Revision committed = source.catalogue().update(service, upserted, removed, configuration);
        if (!committed.equals(expected)) {
            throw new IllegalStateException("revision " + committed + " was committed in place of " + expected);
        }
        rootView.committed(committed, now);
        return committed;
    }

    /** What the source hears of the controllers' progress. */
    RootView rootView() {
        return rootView;
    }

    EventLoop loop() {
        return loop;
    }

    Network network() {
        return network;
    }

    Catalogue catalogue() {
        return source.catalogue();
    }

    /** Bytes of all messages that the source has sent, before framing. */
    long bytesSent() {
        return source.publisher().counters().bytesSent();
    }

    /** The way from a region. */
    RegionGate gate(int region) {
        return gates.get(region);
    }

    /** The number of the newest revision. */
    long revision() throws InterruptedException {
        return OnLoop.call(loop, () -> catalogue().revision().number());
    }

    /** Writes the digest of each service. */
    void writeDigests(Path file) throws InterruptedException {
        List<String> lines = OnLoop.call(loop, () -> catalogue().services().stream()
                .map(service -> catalogue().state(service).orElseThrow()).map(SourceHost::digestLine).toList());
        try {
            Files.write(file, lines);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String digestLine(ServiceState state) {
        return state.service() + " " + Long.toHexString(state.digest());
    }

    @Override
    public void close() {
        loop.close();
    }
}
