package pathlane.group;

/**
 * One call controller as the register knows it, for as long as one lease lasts.
 *
 * @param name its name, the same after a restart; the places of records hang on it
 * @param incarnation drawn anew at each start of its process
 * @param address where other members reach it, as {@code host:port}
 * @param token the number of its lease: greater than that of every lease before
 */
public record Member(String name, long incarnation, String address, long token) {}
