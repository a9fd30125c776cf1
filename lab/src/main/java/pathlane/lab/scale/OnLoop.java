package pathlane.lab.scale;

import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import pathlane.net.EventLoop;

/** Has a loop's thread do something and waits for the result; never from the loop itself. */
final class OnLoop {

    private static final int MOST_SECONDS = 60;

    private OnLoop() { }

    static <T> T call(EventLoop loop, Callable<T> task) throws InterruptedException {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                result.complete(task.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        try {
            return result.get(MOST_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw new IllegalStateException("a task on the loop failed: " + e.getCause(), e.getCause());
        } catch (TimeoutException e) {
            throw new IllegalStateException("the loop does not come to a task", e);
        }
    }

    static void run(EventLoop loop, Runnable task) throws InterruptedException {
        call(loop, () -> {
            task.run();
            return null;
        });
    }
}
