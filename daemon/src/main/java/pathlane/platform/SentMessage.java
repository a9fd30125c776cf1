package pathlane.platform;

import java.time.Instant;

/**
 * A message that was written to a connection.
 *
 * @param bytes the very array that was written, by which it can be withdrawn
 */
record SentMessage(Instant sentAt, byte[] bytes) {}
