/**
 * The call controller inside gRPC channels: a load balancer and an interceptor around {@code core}. The package manages
 * the life of gRPC calls and their attempts, makes no routing decisions, and connects to servers through gRPC only.
 */
package pathlane.grpc;
