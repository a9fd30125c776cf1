/**
 * Configuration files in TOML: reading a table key by key, and the tables that several programs share. Opens no sockets and
 * does not depend on how a program uses the values.
 */
package pathlane.files;
