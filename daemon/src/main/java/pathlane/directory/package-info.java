/**
 * The controller's discovery subscriber, enabled by an operator's file: maps calls to services, watches the services in use
 * and passes their server lists to the core. It makes no decisions about calls.
 */
package pathlane.directory;
