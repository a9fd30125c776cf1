/**
 * Service discovery by scoped watches: a catalogue of services with monotonically increasing revisions, publishers that
 * distribute its changes, relays between them, and the client that a call controller runs. The classes are state machines
 * driven by typed messages and time; the package does no I/O, starts no threads, reads no clock and does not depend on the
 * handling of calls.
 */
package pathlane.discovery;
