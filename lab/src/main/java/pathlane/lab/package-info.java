/**
 * Simulated fleets with fault injection: the program's real components in virtual time, simulated servers, event bus and
 * clients, links that can be blocked, reset, delayed and throttled, and a checker of the invariants.
 */
package pathlane.lab;
