/**
 * Capacity planning: measured costs by size, their linear fits, the assumptions about the fleet, and the model that computes
 * each role's cost at full size. Nothing in this package opens a socket or reads a clock. The measurements are taken by
 * {@link pathlane.lab.capacity.measure}.
 */
package pathlane.lab.capacity;
