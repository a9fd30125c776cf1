package pathlane.grpc;

import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.MethodDescriptor;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import pathlane.standin.GrpcFront;
import pathlane.standin.Processor;

/**
 * How much worth clients get over the plug-in and over {@code round_robin}: the same arrivals on the same four stand-in
 * servers, one slowed by 3 for 15 s and one replaced by a cold one. Virtual time; the same figures every time.
 */
public final class WorthKept {

    private static final int SERVERS = 4;
    private static final double EACH = 30;
    private static final int SECONDS = 40;
    private static final int SEEDS = 5;
    private static final int REDIALS = 2;
    private static final double SIGN_SHARE = 0.06;
    /** An attempt is cancelled after 35% of its class's deadline; the plug-in gets this time as the class's deadline. */
    private static final long CHECK_PATIENCE = 3150;
    private static final long SIGN_PATIENCE = 2100;

    private WorthKept() {}

    /** What a run came to. */
    private record Result(double worth, boolean fell, double mostOfBudget, long attemptsPerCall100) {}

    /** Prints the table; takes no arguments. */
    public static void main(String[] args) {
        System.out.println("| load | round_robin | pathlane | ratio | pushed over, round_robin | pushed over, pathlane"
                + " | most of the cold budget, pathlane | attempts per call, round_robin | pathlane |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (double load : new double[] {0.6, 1.0, 1.2}) {
            List<Result> plain = new ArrayList<>();
            List<Result> ours = new ArrayList<>();
            for (int seed = 1; seed <= SEEDS; seed++) {
                plain.add(run(false, load, seed));
                ours.add(run(true, load, seed));
            }
            double before = plain.stream().mapToDouble(Result::worth).average().orElseThrow();
            double now = ours.stream().mapToDouble(Result::worth).average().orElseThrow();
            System.out.printf("| %.0f%% | %.3f | %.3f | %.2f | %d of %d | %d of %d | %.2f | %.2f | %.2f |%n", load * 100,
                    before, now, now / before, plain.stream().filter(Result::fell).count(), SEEDS,
                    ours.stream().filter(Result::fell).count(), SEEDS,
                    ours.stream().mapToDouble(Result::mostOfBudget).max().orElseThrow(),
                    plain.stream().mapToLong(Result::attemptsPerCall100).average().orElseThrow() / 100,
                    ours.stream().mapToLong(Result::attemptsPerCall100).average().orElseThrow() / 100);
        }
    }

    private static Result run(boolean plugin, double load, long seed) {
        String settings = PluginHarness.SETTINGS.replace("\"deadline-ms\": 9000", "\"deadline-ms\": " + CHECK_PATIENCE)
                .replace("\"deadline-ms\": 6000", "\"deadline-ms\": " + SIGN_PATIENCE);
        try (PluginHarness harness = new PluginHarness(Pathlane.builder().configuration(settings), "s0", "s1", "s2", "s3")) {
            ManagedChannel channel = plugin ? harness.channel()
                    : harness.keep(harness.builder("pool").defaultLoadBalancingPolicy("round_robin").build());
            SplittableRandom random = new SplittableRandom(seed);
            Tally tally = new Tally();
            harness.time.after(Duration.ofSeconds(10), () -> harness.processors.get("s0").slow(3));
            harness.time.after(Duration.ofSeconds(25), () -> harness.processors.get("s0").slow(1));
            harness.time.after(Duration.ofSeconds(12), () -> {
                harness.processors.get("s3").drain(Duration.ofSeconds(4));
                harness.add("s4").startCold();
                harness.list("s0", "s1", "s2", "s4");
            });
            double at = 0;
            int count = 0;
            while (at < SECONDS * 1000) {
                at += -Math.log(1 - random.nextDouble()) * 1000 / (SERVERS * EACH * load);
                Caller caller = new Caller(harness, channel, tally, "n" + count++, random.nextDouble() < SIGN_SHARE,
                        random.split());
                harness.time.after(Duration.ofNanos((long) (at * 1e6)), caller::dial);
            }
            harness.time.pass(Duration.ofSeconds(SECONDS + 30));
            Processor cold = harness.processors.get("s4");
            long setUps = harness.processors.values().stream().mapToLong(Processor::setUps).sum();
            return new Result(tally.earned / tally.offered,
                    harness.processors.values().stream().anyMatch(Processor::fell), cold.mostOfBudget(),
                    setUps * 100 / count);
        }
    }

    private static final class Tally {
        double offered;
        double earned;
    }

    /** One call of a client that retries by itself, up to twice. */
    private static final class Caller {
        private final PluginHarness harness;
        private final ManagedChannel channel;
        private final Tally tally;
        private final String key;
        private final boolean sign;
        private final SplittableRandom random;
        private double firstAt = Double.NaN;
        private int dials;
        private double earned;

        Caller(PluginHarness harness, ManagedChannel channel, Tally tally, String key, boolean sign,
                SplittableRandom random) {
            this.harness = harness;
            this.channel = channel;
            this.tally = tally;
            this.key = key;
            this.sign = sign;
            this.random = random;
        }

        void dial() {
            if (Double.isNaN(firstAt)) {
                firstAt = harness.time.nowMs();
                tally.offered += sign ? 6 : 1;
            }
            dials++;
            MethodDescriptor<byte[], byte[]> method = sign ? GrpcFront.SIGN : GrpcFront.CHECK;
            PluginHarness.Response response =
                    harness.call(channel, method, CallOptions.DEFAULT.withOption(PathlaneOptions.CLASS,
                            sign ? "deadline-sign" : "status-check"), key);
            response.onClose = () -> closed(response);
            harness.time.after(Duration.ofMillis(sign ? SIGN_PATIENCE : CHECK_PATIENCE), () -> {
                if (response.closes == 0 && response.messages.isEmpty()) {
                    response.call.cancel("given up", null);
                }
            });
        }

        private void closed(PluginHarness.Response response) {
            if (!response.messages.isEmpty() && response.status.isOk()) {
                double waited = response.firstAt - firstAt;
                earned = waited <= (sign ? 800 : 1500) ? 1 : sign ? 0.1 : 0.25;
                tally.earned += earned * (sign ? 6 : 1);
            } else if (response.messages.isEmpty() && dials <= REDIALS) {
                harness.time.after(Duration.ofMillis(500 + random.nextInt(1000)), this::dial);
            }
        }
    }
}
