/**
 * How much a server in slow start may be sent by each of several senders that share nothing but an index of their own.
 * Knows no wire and no clock, and not which call takes what it allows.
 */
package pathlane.slowstart;
