/**
 * A session server of the project's own, for tests, examples and experiments: one processor model and its fronts.
 * The model is a state machine in whatever time it is given; it knows no wire, and a front decides nothing.
 */
package pathlane.standin;
