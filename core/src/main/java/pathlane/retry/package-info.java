/**
 * Which call is a caller's retry, of which first try, and how soon it may leave. Owns what is remembered of calls that
 * ended in vain, bounded in memory and time; knows no wire, no clock and not what is done with a call.
 */
package pathlane.retry;
