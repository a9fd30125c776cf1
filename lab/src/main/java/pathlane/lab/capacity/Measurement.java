package pathlane.lab.capacity;

/**
 * One measured figure.
 *
 * @param commit of the code that was measured, abbreviated
 * @param machine what it ran on
 * @param size what the cost is measured against, such as the number of listed servers
 * @param repetition from 1
 * @param figure in the unit that the file's name says
 */
public record Measurement(String commit, String machine, double size, int repetition, double figure) { }
