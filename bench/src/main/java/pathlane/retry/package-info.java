/** Benchmarks of the index of failed calls; not part of a release. */
package pathlane.retry;
