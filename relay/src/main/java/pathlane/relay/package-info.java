/**
 * The discovery programs that run beside the call controller: the source, which turns the event bus or a catalogue file into
 * revisions, and the relays that fan them out. This package has the files, signals, sockets and log output; the protocol
 * logic is in {@code pathlane.discovery}. It does not depend on calls.
 */
package pathlane.relay;
