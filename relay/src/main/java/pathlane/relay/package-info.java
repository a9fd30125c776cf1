/**
 * The programs of discovery beside the call controller: the source, which turns the event bus or a catalogue's file into
 * revisions, and the relays that fan them out. Files, signals, sockets and log lines; what is decided stands in
 * {@code pathlane.discovery}. Knows nothing of calls.
 */
package pathlane.relay;
