/**
 * What is kept of each call at other members of the group, and what a successor does with it. Decisions and state
 * machines on the event loop's thread; it knows the group's register and the core, and no socket, file or clock.
 */
package pathlane.handover;
