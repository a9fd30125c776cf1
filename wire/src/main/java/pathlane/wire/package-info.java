/**
 * The platform's messages: their bytes, both ways, and what the causes of releases mean. Knows no socket, no call and
 * no front; whoever is fed bytes uses it (daemon, stand-in, client).
 */
package pathlane.wire;
