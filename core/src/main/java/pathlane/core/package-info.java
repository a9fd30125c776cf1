/**
 * The life of every call without a wire: the table of calls, attempts and timers, exactly one final answer, the guards of
 * the rules, and what is told of each call to a group of controllers. Runs on one thread of its user's; knows the routing
 * policy by its interface and session servers and clients by their ports, and no byte, socket or clock.
 */
package pathlane.core;
