/**
 * Who is in a group of call controllers and who may act for whom: leases with tokens that only grow, and claims on the
 * work of those that have gone. Decisions and state machines; it knows no socket, no file, no clock and no call.
 */
package pathlane.group;
