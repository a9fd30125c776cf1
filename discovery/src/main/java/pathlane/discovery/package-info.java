/**
 * Discovery by scoped watches: a catalogue of services under growing revisions, publishers that fan its changes out, relays
 * between them, and the client that a call controller holds. State machines fed typed messages and time; this package knows
 * no socket, no file, no thread and no clock, and nothing of calls.
 */
package pathlane.discovery;
