/**
 * Determines which calls are clients' retries, of which first call, and how soon they may be sent. Stores recently failed
 * calls, bounded in memory and time. Does not depend on protocols, on a clock or on call processing.
 */
package pathlane.retry;
