/**
 * The platform's signalling messages: framing, encoding and decoding, and the mapping of release causes to outcomes.
 * Performs no I/O and keeps no call state. Used by the daemon, the stand-in servers and the test clients.
 */
package pathlane.wire;
