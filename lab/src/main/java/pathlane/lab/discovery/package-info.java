/**
 * Simulates discovery in virtual time: a source, region and zone relays and controllers over links with faults, driven by
 * seeded schedules, with invariants checked at each message. It contains no discovery logic and opens no socket.
 */
package pathlane.lab.discovery;
