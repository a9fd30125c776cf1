/** Benchmarks of the gRPC plug-in; not part of a release. */
package pathlane.grpc;
