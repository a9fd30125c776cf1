/** What decisions cost, by the number of session servers. */
package pathlane.decision;
