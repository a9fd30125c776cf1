/** Measurements of what is remembered of calls that ended in vain; nothing here is part of a release. */
package pathlane.retry;
