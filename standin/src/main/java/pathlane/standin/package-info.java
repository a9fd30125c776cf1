/**
 * A simulated session server for tests, examples and experiments: a processor model and its protocol front ends. The model
 * is a state machine that runs on any scheduler's clock and knows no protocol; the front ends make no decisions.
 */
package pathlane.standin;
