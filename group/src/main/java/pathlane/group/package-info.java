/**
 * Membership of a group of call controllers, and which member may act for which: leases with increasing tokens, and claims
 * on the shards of former members. Decisions and state machines only, without sockets, files, clocks or calls.
 */
package pathlane.group;
