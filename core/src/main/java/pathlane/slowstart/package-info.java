/**
 * Shares the load that a server in slow start may receive among several senders, which coordinate only by an index for each.
 * Depends on no wire protocol and no clock, and does not decide which calls use the share.
 */
package pathlane.slowstart;
