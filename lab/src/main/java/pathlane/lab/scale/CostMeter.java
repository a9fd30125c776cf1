package pathlane.lab.scale;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pathlane.lab.scale.DayResult.ControllerCost;
import pathlane.lab.scale.DayResult.HolderCost;
import pathlane.lab.scale.DayResult.ProcessCost;

/** Processor time and bytes of processes from one moment on. */
final class CostMeter {

    private static final double MEGABYTE = 1024 * 1024;
    private static final double PERCENT = 100;

    private final long beganNanos = System.nanoTime();
    private final Map<ChildProcess, ProcessUsage> before = new HashMap<>();
    private final ProcessUsage self = ProcessUsage.now();
    private double seconds;
    private final Map<ChildProcess, ProcessUsage> after = new HashMap<>();
    private ProcessUsage selfAfter;

    CostMeter(List<ChildProcess> processes) {
        processes.forEach(process -> before.put(process, process.usage()));
    }

    /** Ends the measurement. */
    void end() {
        seconds = (System.nanoTime() - beganNanos) / (double) Duration.ofSeconds(1).toNanos();
        before.keySet().forEach(process -> after.put(process, process.usage()));
        selfAfter = ProcessUsage.now();
    }

    double seconds() {
        return seconds;
    }

    /** One process's cost; one that was started anew meanwhile counts from its start. */
    ProcessCost cost(ChildProcess process) {
        long transferred = after.get(process).transferred() - before.get(process).transferred();
        return new ProcessCost(Math.max(0, transferred) / seconds, Math.max(0, cpuPercent(process)),
                after.get(process).residentBytes() / MEGABYTE);
    }

    /** The run's own process, whose source has sent so many bytes meanwhile. */
    ProcessCost ownCost(long sentBytes) {
        return new ProcessCost(sentBytes / seconds, percent(selfAfter.cpu().minus(self.cpu())),
                selfAfter.residentBytes() / MEGABYTE);
    }

    /** A process with controllers, as a whole; its memory is that of now. */
    HolderCost holderCost(ChildProcess process, ControlMessage.Figures figures) {
        return new HolderCost(figures.controllers(), new ProcessCost(
                (figures.bytesReceived() + figures.bytesWritten()) / seconds, cpuPercent(process),
                process.usage().residentBytes() / MEGABYTE));
    }

    private double cpuPercent(ChildProcess process) {
        return percent(after.get(process).cpu().minus(before.get(process).cpu()));
    }

    private double percent(Duration cpu) {
        return PERCENT * cpu.toNanos() / Duration.ofSeconds(1).toNanos() / seconds;
    }

    /** What one controller of these processes costs, above an empty process. */
    ControllerCost controllerCost(List<ChildProcess> processes, ChildProcess empty, List<ControlMessage.Figures> figures,
                                  boolean withMemory) {
        long controllers = figures.stream().mapToLong(ControlMessage.Figures::controllers).sum();
        double endpoints = figures.stream().mapToLong(ControlMessage.Figures::endpoints).sum();
        double bytes = figures.stream().mapToLong(one -> one.bytesReceived() + one.bytesWritten()).sum();
        double cpu = processes.stream().mapToDouble(this::cpuPercent).sum() - processes.size() * cpuPercent(empty);
        double resident = processes.stream().mapToLong(process -> process.usage().residentBytes()).sum()
                - (double) processes.size() * empty.usage().residentBytes();
        return new ControllerCost(controllers, endpoints / controllers, bytes / seconds / controllers, cpu / controllers,
                withMemory ? resident / MEGABYTE / controllers : Double.NaN);
    }
}
