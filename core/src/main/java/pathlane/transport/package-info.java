/**
 * The interfaces between protocol state machines and the drivers of their connections, with limits on connections, message
 * duration and log rate. Contains no sockets; depends only on the core's scheduler and close reasons.
 */
package pathlane.transport;
