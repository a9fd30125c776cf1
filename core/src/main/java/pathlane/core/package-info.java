/**
 * Call control without I/O: the call table, attempts and timers, exactly one final answer per call, the limits that hold
 * whatever the policy decides, and the interface for replicating calls to a group of controllers. Runs on a single thread
 * supplied by its user. Depends on the routing policy's interface and on ports to session servers and clients, and not on
 * protocols, sockets or clocks.
 */
package pathlane.core;
