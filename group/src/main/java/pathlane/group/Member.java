package pathlane.group;

/**
 * A call controller in the registry, for the duration of one lease.
 *
 * @param name the same after a restart; it determines the placement of records
 * @param incarnation drawn anew at each start of the process
 * @param address where other members connect to it, as {@code host:port}
 * @param token the token of its lease: greater than that of every earlier lease
 */
public record Member(String name, long incarnation, String address, long token) {}
