/**
 * Commands that measure cost against size and append their figures to {@code docs/measurements/capacity}: parts of the
 * program in this process, and the built program as a process of its own on loopback. What the figures mean is decided in
 * {@link pathlane.lab.capacity}.
 */
package pathlane.lab.capacity.measure;
