/** The routing policy: all decisions on calls and servers, without I/O, in virtual time. See docs/design/routing.md. */
package pathlane.decision.policy;
