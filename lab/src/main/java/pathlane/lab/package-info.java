/**
 * Fleets with faults between their parts: the program's real parts in virtual time, stand-in servers, a bus and scripted
 * callers, with a way between each two that can be cut, reset, held and throttled; and the checker that judges them.
 */
package pathlane.lab;
