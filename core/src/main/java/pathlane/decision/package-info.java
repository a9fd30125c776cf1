/**
 * The interface of the routing policy: its input events, its output actions, and the types that describe servers and
 * attempts. The implementation is in {@code decision.policy}. This package depends on no wire protocol, clock or thread.
 */
package pathlane.decision;
