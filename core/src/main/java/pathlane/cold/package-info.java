/**
 * How much a server that has just started may be sent by each of several senders that share nothing but a number of
 * their own. Knows no wire and no clock, and not which call takes what it allows.
 */
package pathlane.cold;
