/**
 * Operators' files in TOML: reading a table key by key, and the tables that several programs have. Knows no socket, and
 * nothing of what a program does with the figures.
 */
package pathlane.files;
