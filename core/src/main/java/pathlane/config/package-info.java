/**
 * The settings of a call controller, as a single type, and their reader. Does not depend on other parts of the program, on
 * files or on a clock.
 */
package pathlane.config;
