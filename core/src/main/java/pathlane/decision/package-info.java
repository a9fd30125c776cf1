/**
 * The interface of the routing policy: its events and actions, and the terms in which they speak of servers and attempts.
 * {@code decision.policy} has the policy itself. Knows no wire, no clock and no thread.
 */
package pathlane.decision;
