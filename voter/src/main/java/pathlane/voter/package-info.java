/**
 * A voter of the group's registry: consensus by Raft (Ongaro and Ousterhout, 2014) with the microraft library, on one event
 * loop, authenticated links and a store on disk. Nothing here decides about leases or calls.
 */
package pathlane.voter;
