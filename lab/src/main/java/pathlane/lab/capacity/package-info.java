/**
 * Capacity planning: measured slopes of cost against size, their fits, the assumptions about the fleet, and the model that
 * gives each role's cost at the full size. Pure functions over files of figures; nothing here opens a socket or reads a
 * clock. What takes the figures is in {@link pathlane.lab.capacity.measure}.
 */
package pathlane.lab.capacity;
