/** The routing policy: all decisions on calls and servers, pure, in virtual time. docs/design/routing.md explains it. */
package pathlane.decision.policy;
