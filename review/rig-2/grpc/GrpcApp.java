import com.google.common.util.concurrent.ListenableFuture;
import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCalls;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import pathlane.grpc.Pathlane;
import pathlane.standin.GrpcSessionServer;

/**
 * An application that calls through the plug-in. Usage: GrpcApp TARGET SETTINGS PER_BURST GAP_MS PATIENCE_MS. Until a line
 * comes on its input it starts PER_BURST calls each GAP_MS; it prints {@code sent N} and {@code ended N STATUS}.
 */
public final class GrpcApp {

    private static synchronized void say(String line) {
        System.out.println(System.currentTimeMillis() + " " + line);
        System.out.flush();
    }

    public static void main(String[] args) throws Exception {
        Pathlane pathlane = Pathlane.builder().configuration(Files.readString(Path.of(args[1]))).build();
        ManagedChannel channel = pathlane.attach(NettyChannelBuilder.forTarget(args[0]).usePlaintext()).build();
        int perBurst = Integer.parseInt(args[2]);
        long gapMs = Long.parseLong(args[3]);
        long patienceMs = Long.parseLong(args[4]);
        Thread caller = new Thread(() -> {
            int number = 0;
            try {
                while (!Thread.currentThread().isInterrupted()) {
                    for (int i = 0; i < perBurst; i++) {
                        int id = ++number;
                        say("sent " + id);
                        ListenableFuture<byte[]> future = ClientCalls.futureUnaryCall(channel.newCall(GrpcSessionServer.CHECK,
                                CallOptions.DEFAULT.withDeadlineAfter(patienceMs, TimeUnit.MILLISECONDS)),
                                ("document " + id).getBytes());
                        future.addListener(() -> {
                            String status = "OK";
                            try {
                                future.get();
                            } catch (Exception e) {
                                status = Status.fromThrowable(e).getCode().name();
                            }
                            say("ended " + id + " " + status);
                        }, Runnable::run);
                    }
                    Thread.sleep(gapMs);
                }
            } catch (InterruptedException e) {
                say("stops");
            }
        });
        say("starts");
        caller.start();
        new BufferedReader(new InputStreamReader(System.in)).readLine();
        caller.interrupt();
        while (System.in.read() >= 0) {
            continue;
        }
        System.exit(0);
    }
}
