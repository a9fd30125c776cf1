package pathlane.grpc;

import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.MethodDescriptor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import pathlane.standin.GrpcSessionServer;
import pathlane.standin.Processor;

/**
 * Compares the value that clients get from their calls over the plug-in and over {@code round_robin}: the same arrivals on
 * the same four simulated servers, one slowed by a factor of 3 for 15 s and one replaced by a cold server. Runs in virtual
 * time, so the results are reproducible.
 */
public final class WorthKept {

    private static final int SERVERS = 4;
    private static final double CALLS_PER_SECOND_PER_SERVER = 30;
    private static final int DURATION_SECONDS = 40;
    private static final int SEEDS = 5;
    private static final int MAX_CLIENT_RETRIES = 2;
    private static final double SIGN_SHARE = 0.06;
    /** Clients abandon an attempt after 35% of its class's deadline; the plug-in is configured with the same deadline. */
    private static final long CHECK_TIMEOUT_MS = 3150;
    private static final long SIGN_TIMEOUT_MS = 2100;

    private WorthKept() {}

    /** The results of a run. */
    private record Result(double valueShare, boolean hasCrashed, double maxColdBudgetUse, long attemptsPer100Calls) {}

    /** Prints the table; takes no arguments. */
    public static void main(String[] args) {
        System.out.println(
                "| load | round_robin | pathlane | ratio | runs with a crash, round_robin | runs with a crash, pathlane"
                        + " | max share of the cold-start budget, pathlane | attempts per call, round_robin | pathlane |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (double load : new double[] {0.6, 1.0, 1.2}) {
            List<Result> roundRobin = new ArrayList<>();
            List<Result> pathlane = new ArrayList<>();
            for (int seed = 1; seed <= SEEDS; seed++) {
                roundRobin.add(run(false, load, seed));
                pathlane.add(run(true, load, seed));
            }
            double roundRobinValue = roundRobin.stream().mapToDouble(Result::valueShare).average().orElseThrow();
            double pathlaneValue = pathlane.stream().mapToDouble(Result::valueShare).average().orElseThrow();
            System.out.printf("| %.0f%% | %.3f | %.3f | %.2f | %d of %d | %d of %d | %.2f | %.2f | %.2f |%n", load * 100,
                    roundRobinValue, pathlaneValue, pathlaneValue / roundRobinValue,
                    roundRobin.stream().filter(Result::hasCrashed).count(), SEEDS,
                    pathlane.stream().filter(Result::hasCrashed).count(), SEEDS,
                    pathlane.stream().mapToDouble(Result::maxColdBudgetUse).max().orElseThrow(),
                    roundRobin.stream().mapToLong(Result::attemptsPer100Calls).average().orElseThrow() / 100,
                    pathlane.stream().mapToLong(Result::attemptsPer100Calls).average().orElseThrow() / 100);
        }
    }

    private static Result run(boolean usesPlugin, double load, long seed) {
        String settings = PluginHarness.SETTINGS.replace("\"deadline-ms\": 9000", "\"deadline-ms\": " + CHECK_TIMEOUT_MS)
                .replace("\"deadline-ms\": 6000", "\"deadline-ms\": " + SIGN_TIMEOUT_MS);
        try (PluginHarness harness = new PluginHarness(Pathlane.builder().configuration(settings), "s0", "s1", "s2", "s3")) {
            ManagedChannel channel = usesPlugin ? harness.channel()
                    : harness.closeWithHarness(harness.builder("pool").defaultLoadBalancingPolicy("round_robin").build());
            SplittableRandom random = new SplittableRandom(seed);
            ValueTotals totals = new ValueTotals();
            harness.time.after(Duration.ofSeconds(10), () -> harness.processors.get("s0").setSlowFactor(3));
            harness.time.after(Duration.ofSeconds(25), () -> harness.processors.get("s0").setSlowFactor(1));
            harness.time.after(Duration.ofSeconds(12), () -> {
                harness.processors.get("s3").drain(Duration.ofSeconds(4));
                harness.addServer("s4").startCold();
                harness.setListedServers("s0", "s1", "s2", "s4");
            });
            double arrivalMs = 0;
            int count = 0;
            while (arrivalMs < DURATION_SECONDS * 1000) {
                arrivalMs += -Math.log(1 - random.nextDouble()) * 1000 / (SERVERS * CALLS_PER_SECOND_PER_SERVER * load);
                Client client = new Client(harness, channel, totals, "n" + count++, random.nextDouble() < SIGN_SHARE,
                        random.split());
                harness.time.after(Duration.ofNanos((long) (arrivalMs * 1e6)), client::attempt);
            }
            harness.time.advance(Duration.ofSeconds(DURATION_SECONDS + 30));
            Processor cold = harness.processors.get("s4");
            long requests = harness.processors.values().stream().mapToLong(Processor::requests).sum();
            return new Result(totals.earned / totals.offered,
                    harness.processors.values().stream().anyMatch(Processor::hasCrashed), cold.maxColdBudgetUse(),
                    requests * 100 / count);
        }
    }

    private static final class ValueTotals {
        double offered;
        double earned;
    }

    /** A call whose client retries by itself up to twice. */
    private static final class Client {
        private final PluginHarness harness;
        private final ManagedChannel channel;
        private final ValueTotals totals;
        private final String key;
        private final boolean isSigning;
        private final SplittableRandom random;
        private double firstAt = Double.NaN;
        private int attempts;
        private double earned;

        Client(PluginHarness harness, ManagedChannel channel, ValueTotals totals, String key, boolean isSigning,
                SplittableRandom random) {
            this.harness = harness;
            this.channel = channel;
            this.totals = totals;
            this.key = key;
            this.isSigning = isSigning;
            this.random = random;
        }

        void attempt() {
            if (Double.isNaN(firstAt)) {
                firstAt = harness.time.nowMs();
                totals.offered += isSigning ? 6 : 1;
            }
            attempts++;
            MethodDescriptor<byte[], byte[]> method = isSigning ? GrpcSessionServer.SIGN : GrpcSessionServer.CHECK;
            PluginHarness.Response response =
                    harness.call(channel, method, CallOptions.DEFAULT.withOption(PathlaneOptions.CLASS,
                            isSigning ? "deadline-sign" : "status-check"), key);
            response.onClose = () -> closed(response);
            harness.time.after(Duration.ofMillis(isSigning ? SIGN_TIMEOUT_MS : CHECK_TIMEOUT_MS), () -> {
                if (response.closeCount == 0 && response.messages.isEmpty()) {
                    response.call.cancel("client timeout", null);
                }
            });
        }

        private void closed(PluginHarness.Response response) {
            if (!response.messages.isEmpty() && response.status.isOk()) {
                double latencyMs = response.firstMessageAtMs - firstAt;
                earned = latencyMs <= (isSigning ? 800 : 1500) ? 1 : isSigning ? 0.1 : 0.25;
                totals.earned += earned * (isSigning ? 6 : 1);
            } else if (response.messages.isEmpty() && attempts <= MAX_CLIENT_RETRIES) {
                harness.time.after(Duration.ofMillis(500 + random.nextInt(1000)), this::attempt);
            }
        }
    }
}
