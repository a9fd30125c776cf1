/**
 * Sockets: one event loop, listening, dialling and datagrams, and a driver for each connection that feeds a protocol's state
 * machine. Knows no protocol and no configuration file.
 */
package pathlane.net;
