/**
 * The group's part of the program, where an operator's file switches it on: reads that file, listens for other members,
 * and wires the handover to the one event loop. A driver; it decides nothing about calls.
 */
package pathlane.takeover;
