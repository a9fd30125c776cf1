/**
 * What a protocol's state machine and its driver are to each other: connections, their limits, and how long a message may
 * take. Owns no socket; knows of the core only the scheduler and why connections end.
 */
package pathlane.transport;
