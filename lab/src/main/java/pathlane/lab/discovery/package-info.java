/**
 * Discovery in virtual time: a source, region and zone relays and controllers over links with faults, played by seeded
 * schedules, with invariants checked at each message. It holds no decision of discovery's own and opens no socket.
 */
package pathlane.lab.discovery;
