package pathlane.platform;

import java.time.Instant;

/**
 * A message that was written to a connection.
 *
 * @param bytes the same array instance that was written: the write is cancelled by identity
 */
record SentMessage(Instant sentAt, byte[] bytes) {}
