package pathlane.lab.capacity;

/**
 * One measured figure.
 *
 * @param commit of the code that was measured, abbreviated
 * @param machine the machine it was measured on
 * @param size the variable that the cost depends on, such as the number of listed servers
 * @param repetition from 1
 * @param figure in the unit given by the file's name
 */
public record Measurement(String commit, String machine, double size, int repetition, double figure) {}
