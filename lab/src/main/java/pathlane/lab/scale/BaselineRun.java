package pathlane.lab.scale;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import pathlane.core.ServerEndpoint;
import pathlane.decision.ServerStatus;
import pathlane.lab.rig.Ports;
import pathlane.net.EventLoop;

/** The baseline: in the process that was empty so far, controllers follow an event bus with the whole list. */
final class BaselineRun {

    private static final String HOST = "127.0.0.1";
    private static final Duration POLL = Duration.ofMillis(50);

    private final ScalePlan.Baseline baseline;
    private final List<ServerEndpoint> list;
    private final FleetLayout layout;
    private final SourceHost source;
    private final ProcessFleet fleet;
    private final Deadline deadline;

    BaselineRun(ScalePlan.Baseline baseline, List<ServerEndpoint> list, FleetLayout layout, SourceHost source,
            ProcessFleet fleet, Deadline deadline) {
        this.baseline = baseline;
        this.list = list;
        this.layout = layout;
        this.source = source;
        this.fleet = fleet;
        this.deadline = deadline;
    }

    BaselineResult play() throws InterruptedException {
        EventLoop loop = source.loop();
        ChildProcess process = fleet.empty();
        WholeListBus bus = OnLoop.call(loop, () -> new WholeListBus(loop, list));
        InetSocketAddress address = source.network().listen(new InetSocketAddress(HOST, Ports.findFree(HOST)), bus::accept,
                baseline.controllers(), WholeListBus.wholeListBytes(list.size()) + ScaleTerms.MOST_UNWRITTEN);
        collectGarbage(process);
        long residentBefore = process.usage().residentBytes();
        process.send(new ControlMessage.StartBaseline(baseline.controllers(), HOST, address.getPort()));
        process.await(ControlMessage.Done.class);
        awaitEvents(process, bus);
        long bytesBefore = status(process).bytesReceived();
        ProcessUsage before = process.usage();
        long began = System.nanoTime();
        int changes = tellChanges(loop, bus);
        ControlMessage.BaselineStatus after = awaitEvents(process, bus);
        double seconds = (System.nanoTime() - began) / (double) Duration.ofSeconds(1).toNanos();
        double cpu = process.usage().cpu().minus(before.cpu()).toNanos() / (double) Duration.ofSeconds(1).toNanos();
        collectGarbage(process);
        long resident = process.usage().residentBytes() - residentBefore;
        int controllers = baseline.controllers();
        return new BaselineResult(list.size(), WholeListBus.wholeListBytes(list.size()),
                WholeListBus.isWholeListRefused(list.size()), changes,
                new DayResult.ControllerCost(controllers, list.size(),
                        (after.bytesReceived() - bytesBefore) / seconds / controllers, 100 * cpu / seconds / controllers,
                        resident / (1024.0 * 1024) / controllers));
    }

    private static void collectGarbage(ChildProcess process) {
        process.send(new ControlMessage.CollectGarbage());
        process.await(ControlMessage.Done.class);
    }

    private static ControlMessage.BaselineStatus status(ChildProcess process) {
        process.send(new ControlMessage.GetBaselineStatus());
        return process.await(ControlMessage.BaselineStatus.class);
    }

    private ControlMessage.BaselineStatus awaitEvents(ChildProcess process, WholeListBus bus) throws InterruptedException {
        int events = OnLoop.call(source.loop(), bus::events);
        while (true) {
            ControlMessage.BaselineStatus status = status(process);
            if (status.lowestEvent() >= events) {
                return status;
            }
            deadline.check(() -> "not all baseline controllers have event " + events + ": " + status);
            Thread.sleep(POLL.toMillis());
        }
    }

    /** Servers start anew at an even pace; returns how many. */
    private int tellChanges(EventLoop loop, WholeListBus bus) throws InterruptedException {
        double perSecond = baseline.perDay() / Duration.ofDays(1).toSeconds();
        int count = Math.max(1, (int) Math.round(perSecond * baseline.seconds()));
        SplittableRandom random = new SplittableRandom(1);
        CompletableFuture<Void> isOver = new CompletableFuture<>();
        OnLoop.run(loop, () -> {
            Instant startedAt = loop.now().truncatedTo(ChronoUnit.MILLIS);
            for (int change = 0; change < count; change++) {
                ServerEndpoint line = layout.line(random.nextInt(list.size()), ServerStatus.RUNNING, startedAt);
                loop.after(Duration.ofNanos((long) (change / perSecond * Duration.ofSeconds(1).toNanos())),
                        () -> bus.change(line));
            }
            loop.after(Duration.ofSeconds(baseline.seconds()), () -> isOver.complete(null));
        });
        deadline.await(isOver, "changes of the baseline");
        return count;
    }
}
