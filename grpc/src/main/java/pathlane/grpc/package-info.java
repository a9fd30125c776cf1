/**
 * The controller's decisions inside gRPC channels: a load balancer and an interceptor around {@code core}. Owns the
 * life of a gRPC call and its attempts; decides nothing itself, and opens no connection but through gRPC.
 */
package pathlane.grpc;
