/**
 * The event bus: the list of session servers as numbered events, followed over as many connections as it takes.
 * A state machine fed bytes; it knows no socket and not who uses the list.
 */
package pathlane.bus;
