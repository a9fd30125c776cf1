/** Measurements of the plug-in; nothing here is part of a release. */
package pathlane.grpc;
