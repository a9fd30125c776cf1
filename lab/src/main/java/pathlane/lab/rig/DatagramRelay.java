package pathlane.lab.rig;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import pathlane.lab.Faults;

/**
 * Forwards datagrams from one party to another with the {@link Faults} of that direction: blocked datagrams are lost,
 * delayed ones may be reordered, and a fraction is lost or duplicated. Answers need a relay of their own. Runs on the test
 * bed's event loop.
 */
final class DatagramRelay {

    private final RigLoop loop;
    private final Faults faults;
    private final SplittableRandom random;

    /** The seed decides which datagrams are lost or duplicated. */
    DatagramRelay(RigLoop loop, Faults faults, long seed) {
        this.loop = loop;
        this.faults = faults;
        this.random = new SplittableRandom(seed);
    }

    /** Forwards datagrams that arrive at this port to the target's address. Must not be called on the event loop. */
    void forward(String from, int port, String to, InetSocketAddress target) throws InterruptedException {
        Holder holder = new Holder();
        holder.send = loop.openDatagramSocket(port, (sender, bytes) -> {
            for (int copies = faults.deliveredCopies(from, to, random); copies > 0; copies--) {
                Duration delay = faults.addedDelay(from, to);
                if (delay.isZero()) {
                    holder.send.accept(target, bytes);
                } else {
                    loop.after(delay, () -> holder.send.accept(target, bytes));
                }
            }
        });
    }

    private static final class Holder {
        private BiConsumer<InetSocketAddress, byte[]> send;
    }
}
