package pathlane.handover;

import java.time.Duration;
import java.util.Set;
import pathlane.group.LeaseTerms;

/**
 * The settings of a member for replication and handover.
 *
 * @param name the member's name, the same after a restart
 * @param address where other members reach it, as {@code host:port}
 * @param replicaCount how many other members hold a replica of each record, at least 1
 * @param batchWindow how long a change may be delayed to be batched with others; newer changes are not yet replicated
 * @param synchronousClasses the call classes whose answers wait until their call is replicated, by index in the settings
 * @param maxAnswerDelay how long such an answer waits at most
 * @param adoptionsPerSecond how many calls a second a successor adopts, at least 100
 * @param orphanTimeout how long an attempt that its owner left open is kept before its server is asked to end the call and
 *            its client is notified that it has ended; zero for unlimited
 * @param retryDelay how long no request is sent for a call after an attempt was lost
 */
public record HandoverSettings(String name, String address, int replicaCount, LeaseTerms lease, Duration batchWindow,
        Set<Integer> synchronousClasses, Duration maxAnswerDelay, int adoptionsPerSecond, Duration orphanTimeout,
        Duration retryDelay) {}
