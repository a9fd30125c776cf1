package pathlane.core;

import java.time.Duration;

/**
 * A call that a caller asks for.
 *
 * @param callClass the class's place in the settings, or -1 where its name is not among them
 * @param patience how long the caller waits from when it sent the set-up
 * @param firstChoice the number of the server asked for, or -1
 * @param description passed on unchanged
 */
public record SetUp(String id, int callClass, String number, Duration patience, int firstChoice,
        byte[] description) {}
