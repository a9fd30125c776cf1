/** Measurements of the records kept of failed calls; nothing here is part of a release. */
package pathlane.retry;
