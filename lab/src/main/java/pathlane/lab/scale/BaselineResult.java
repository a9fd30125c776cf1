package pathlane.lab.scale;

import pathlane.lab.scale.DayResult.ControllerCost;

/**
 * What controllers cost that hear of every server.
 *
 * @param servers in the list
 * @param wholeListBytes length of the list as one event
 * @param wholeListRefused whether a controller refuses so long an event; it was told in several then
 * @param changes that were told
 * @param cost of one controller
 */
record BaselineResult(int servers, long wholeListBytes, boolean wholeListRefused, int changes, ControllerCost cost) { }
