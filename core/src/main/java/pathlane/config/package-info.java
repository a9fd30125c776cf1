/**
 * The settings of a call controller, one type for all its users, and their reader. Knows no other part of the program, no
 * file and no clock.
 */
package pathlane.config;
