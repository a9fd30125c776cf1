/**
 * Test bed with several processes of the real program on loopback and a relay on every link between them, for faults of
 * links and processes, and the scenarios that script them. Independent of the processes' decision logic.
 */
package pathlane.lab.rig;
