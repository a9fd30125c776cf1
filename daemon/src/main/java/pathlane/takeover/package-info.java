/**
 * Group membership of the daemon, enabled by the operator's group file: reads that file, accepts connections of other
 * members, and connects the handover to the event loop. It makes no decisions about calls.
 */
package pathlane.takeover;
