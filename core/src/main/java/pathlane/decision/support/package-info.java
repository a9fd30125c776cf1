/**
 * General structures on which the routing policy stands: rates, windows, buckets, and records of what happened. They are
 * fed times and values and decide nothing; they know the policy's messages, and neither I/O nor clocks.
 */
package pathlane.decision.support;
