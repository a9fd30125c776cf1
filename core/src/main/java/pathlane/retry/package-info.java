/**
 * Which call is a client's retry, of which first call, and how soon it may leave. Owns what is remembered of calls that
 * failed, bounded in memory and time; knows no wire, no clock and not what is done with a call.
 */
package pathlane.retry;
