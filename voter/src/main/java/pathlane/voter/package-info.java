/**
 * A voter of the group's register: agreement by Raft (Ongaro and Ousterhout, 2014), as the microraft library has it, on one
 * event loop, this project's links and a disk. Nothing here decides about leases or calls.
 */
package pathlane.voter;
