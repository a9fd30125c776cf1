/**
 * General data structures for the routing policy: rates, sliding windows, token buckets, and records of past events. They
 * receive times and values and make no decisions; they know the policy's event types, but no I/O and no clock.
 */
package pathlane.decision.support;
