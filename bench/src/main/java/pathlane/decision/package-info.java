/** Benchmarks of routing decisions by the number of session servers; not part of a release. */
package pathlane.decision;
