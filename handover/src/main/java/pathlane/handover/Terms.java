package pathlane.handover;

import java.time.Duration;
import java.util.Set;
import pathlane.group.LeaseTerms;

/**
 * How a member takes part in handing calls over.
 *
 * @param name its name, the same after a restart
 * @param address where other members reach it, as {@code host:port}
 * @param copies how many others keep each record, from 1
 * @param window how long a change may wait for others to go with it; what is newer than this is not yet replicated
 * @param waiting the classes whose answers wait until their call is kept, by their places in the settings
 * @param waitMost how long such an answer waits at the most
 * @param pace calls a second that a successor goes on with, from 100
 * @param orphans how long an attempt that its owner left open is let be before its server is told to end it, and its
 *                caller that it has ended; nought for never
 * @param clearWait how long nothing is sent for a call after an attempt was lost
 */
public record Terms(String name, String address, int copies, LeaseTerms lease, Duration window, Set<Integer> waiting,
                    Duration waitMost, int pace, Duration orphans, Duration clearWait) { }
