/**
 * Replication of call records to other members of the group, and adoption of the calls of ended leases. Holds decisions and
 * state machines only, on the event loop thread: it depends on the group's registry and the core, and on no socket, file or
 * clock.
 */
package pathlane.handover;
