/**
 * The controller's part in discovery, where an operator's file switches it on: which service a call belongs to, the watch of
 * the services that are in use, and the lists that it hands the core. A driver; it decides nothing about calls.
 */
package pathlane.directory;
