/**
 * Commands that measure costs by size and append the figures to {@code docs/measurements/capacity}: parts of the program in
 * this process, and the built program as a separate process on loopback. The figures are evaluated by
 * {@link pathlane.lab.capacity}.
 */
package pathlane.lab.capacity.measure;
