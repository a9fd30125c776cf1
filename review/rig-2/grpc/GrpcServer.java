import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import pathlane.config.Settings.Rules;
import pathlane.core.Scheduler;
import pathlane.standin.GrpcSessionServer;
import pathlane.standin.Processor;

/** The project's own gRPC session server, as a process of its own. Usage: GrpcServer PORT. */
public final class GrpcServer {

    public static void main(String[] args) throws Exception {
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
        Scheduler time = new Scheduler() {
            @Override
            public Instant now() {
                return Instant.now();
            }

            @Override
            public Duration lag() {
                return Duration.ZERO;
            }

            @Override
            public Timer after(Duration delay, Runnable task) {
                var timer = executor.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
                return () -> timer.cancel(false);
            }
        };
        Rules rules = new Rules(0.28, Duration.ofSeconds(13), 3, Duration.ofMillis(1500), Duration.ofMillis(200));
        Processor processor = new Processor(Processor.Model.of(Double.parseDouble(args[1]), rules), time);
        NettyServerBuilder.forAddress(new InetSocketAddress("127.0.0.1", Integer.parseInt(args[0]))).addService(
                new GrpcSessionServer("s", processor, time, executor, Duration.ofSeconds(1), null).service()).build().start();
        System.out.println("listens");
        while (System.in.read() >= 0) {
            continue;
        }
        System.exit(0);
    }
}
