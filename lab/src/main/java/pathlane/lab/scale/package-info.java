/**
 * Scale runs of discovery: a source, relays in processes of their own, and thousands of hollow call controllers, each with a
 * real watch client over a real socket and a real decision module, but with no callers and no connections to session servers.
 * Days with changes and failures are played, and their figures go into tables and files. Knows nothing of calls.
 */
package pathlane.lab.scale;
