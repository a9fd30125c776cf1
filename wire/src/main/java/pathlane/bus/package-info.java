/**
 * Client of the event bus, which publishes the list of session servers as a sequence of numbered events. A state machine
 * that is fed bytes: it performs no I/O itself and does not depend on the users of the list.
 */
package pathlane.bus;
