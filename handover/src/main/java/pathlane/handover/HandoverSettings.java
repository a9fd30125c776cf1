package pathlane.handover;

import java.time.Duration;
import java.util.Set;
import pathlane.group.LeaseTerms;

/**
 * How a member takes part in handing calls over.
 *
 * @param name its name, the same after a restart
 * @param address where other members reach it, as {@code host:port}
 * @param replicaCount how many others hold a replica of each record, from 1
 * @param batchWindow how long a change may wait for others to go with it; what is newer than this is not yet replicated
 * @param synchronousClasses the classes whose answers wait until their call is replicated, by their places in the settings
 * @param maxAnswerDelay how long such an answer waits at the most
 * @param adoptionsPerSecond calls a second that a successor adopts, from 100
 * @param orphanTimeout how long an attempt that its owner left open is let be before its server is told to end it, and its
 *            client that it has ended; nought for never
 * @param retryDelay how long nothing is sent for a call after an attempt was lost
 */
public record HandoverSettings(String name, String address, int replicaCount, LeaseTerms lease, Duration batchWindow,
        Set<Integer> synchronousClasses, Duration maxAnswerDelay, int adoptionsPerSecond, Duration orphanTimeout,
        Duration retryDelay) {}
