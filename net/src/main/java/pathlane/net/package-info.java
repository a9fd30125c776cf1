/**
 * Network I/O on one event loop: listening, connecting and datagrams. Each connection is driven by an adapter that passes
 * input to a protocol's state machine. Independent of any protocol and of configuration files.
 */
package pathlane.net;
