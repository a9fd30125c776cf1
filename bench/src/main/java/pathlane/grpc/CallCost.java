package pathlane.grpc;

import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.Server;
import io.grpc.ServerCall;
import io.grpc.ServerServiceDefinition;
import io.grpc.Status;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.ClientCalls;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.HdrHistogram.Histogram;
import pathlane.standin.GrpcSessionServer;

/**
 * Measures the client-side cost of a call: latency and CPU time of unary calls over {@code pick_first}, {@code round_robin}
 * and the plug-in, alternating within one run. Every call has a deadline. The two servers run in a separate process, so that
 * the measured CPU time is the client's alone.
 */
public final class CallCost {

    private static final int ROUNDS = 10;
    private static final int CALLS_PER_ROUND = 5000;
    private static final byte[] REQUEST = new byte[100];

    private CallCost() {}

    /** Prints the table. With {@code serve}, runs the servers until standard input ends. */
    public static void main(String[] args) throws Exception {
        if (args.length == 1 && args[0].equals("serve")) {
            serve();
            return;
        }
        Process servers = new ProcessBuilder(ProcessHandle.current().info().command().orElse("java"), "-Xmx256m", "-cp",
                System.getProperty("java.class.path"), CallCost.class.getName(), "serve")
                .redirectError(ProcessBuilder.Redirect.INHERIT).start();
        try (BufferedReader out = new BufferedReader(new InputStreamReader(servers.getInputStream()))) {
            String target = out.readLine();
            measure(target);
        } finally {
            servers.getOutputStream().close();
            servers.destroy();
        }
    }

    private static void serve() throws Exception {
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            servers.add(NettyServerBuilder.forAddress(new InetSocketAddress("127.0.0.1", 0)).directExecutor()
                    .addService(ServerServiceDefinition.builder(GrpcSessionServer.SERVICE).addMethod(GrpcSessionServer.CHECK,
                            (call, headers) -> echo(call)).build())
                    .build().start());
        }
        System.out.println(servers.get(0).getPort() + "," + servers.get(1).getPort());
        while (System.in.read() >= 0) {
            // runs until the client closes the stream
        }
        servers.forEach(Server::shutdownNow);
    }

    private static ServerCall.Listener<byte[]> echo(ServerCall<byte[], byte[]> call) {
        call.request(1);
        return new ServerCall.Listener<byte[]>() {
            @Override
            public void onMessage(byte[] message) {
                call.sendHeaders(new Metadata());
                call.sendMessage(message);
                call.close(Status.OK, new Metadata());
            }
        };
    }

    private static void measure(String ports) {
        List<io.grpc.EquivalentAddressGroup> groups = new ArrayList<>();
        for (String port : ports.split(",")) {
            groups.add(new io.grpc.EquivalentAddressGroup(new InetSocketAddress("127.0.0.1", Integer.parseInt(port))));
        }
        io.grpc.NameResolverRegistry.getDefaultRegistry().register(new FixedResolver("fixed", groups));
        String target = "fixed:///servers";
        Pathlane pathlane = Pathlane.builder().configuration(PluginHarness.SETTINGS).build();
        List<String> names = List.of("pick_first", "round_robin", "pathlane");
        List<ManagedChannel> channels = List.of(
                NettyChannelBuilder.forTarget(target).usePlaintext().defaultLoadBalancingPolicy("pick_first").build(),
                NettyChannelBuilder.forTarget(target).usePlaintext().defaultLoadBalancingPolicy("round_robin").build(),
                pathlane.attach(NettyChannelBuilder.forTarget(target).usePlaintext()).build());
        double[][] cpu = new double[3][ROUNDS];
        double[][] p50 = new double[3][ROUNDS];
        Histogram[] all = new Histogram[3];
        for (int i = 0; i < 3; i++) {
            all[i] = new Histogram(3);
            makeCalls(channels.get(i), 3 * CALLS_PER_ROUND, new Histogram(3));   // warm-up
        }
        for (int round = 0; round < ROUNDS; round++) {
            for (int turn = 0; turn < 3; turn++) {
                int i = (turn + round) % 3;   // rotates the order, so that no policy is always first
                Histogram roundLatencies = new Histogram(3);
                cpu[i][round] = makeCalls(channels.get(i), CALLS_PER_ROUND, roundLatencies);
                p50[i][round] = roundLatencies.getValueAtPercentile(50) / 1e3;
                all[i].add(roundLatencies);
            }
        }
        System.out.println("| policy | p50, us | p99, us | CPU per call, us | CPU against round_robin, median of pairs"
                + " | p50 against round_robin, us, median of pairs |");
        System.out.println("| --- | --- | --- | --- | --- | --- |");
        for (int i = 0; i < 3; i++) {
            double[] ratio = new double[ROUNDS];
            double[] addedLatency = new double[ROUNDS];
            for (int round = 0; round < ROUNDS; round++) {
                ratio[round] = cpu[i][round] / cpu[1][round];
                addedLatency[round] = p50[i][round] - p50[1][round];
            }
            System.out.printf("| %s | %.1f | %.1f | %.1f | %.2f | %+.1f |%n", names.get(i),
                    all[i].getValueAtPercentile(50) / 1e3, all[i].getValueAtPercentile(99) / 1e3,
                    median(cpu[i]), median(ratio), median(addedLatency));
        }
        channels.forEach(ManagedChannel::shutdownNow);
        pathlane.close();
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return (sorted[(sorted.length - 1) / 2] + sorted[sorted.length / 2]) / 2;
    }

    /** Makes sequential calls; returns this process's CPU time per call in microseconds. */
    private static double makeCalls(ManagedChannel channel, int calls, Histogram latencyNanos) {
        com.sun.management.OperatingSystemMXBean system =
                (com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        long cpuBefore = system.getProcessCpuTime();
        for (int i = 0; i < calls; i++) {
            long startedAt = System.nanoTime();
            ClientCalls.blockingUnaryCall(channel, GrpcSessionServer.CHECK,
                    CallOptions.DEFAULT.withDeadlineAfter(5, java.util.concurrent.TimeUnit.SECONDS), REQUEST);
            latencyNanos.recordValue(System.nanoTime() - startedAt);
        }
        return (system.getProcessCpuTime() - cpuBefore) / 1e3 / calls;
    }
}
