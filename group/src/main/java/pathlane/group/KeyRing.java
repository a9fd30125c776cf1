package pathlane.group;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;

/**
 * The shared keys of a group, from an operator's file: one key per line as {@code NAME HEX}; lines that begin with
 * {@code #} are ignored. The first key signs; all are accepted. To rotate: add the new key as the second one everywhere,
 * then move it to the first place everywhere, then remove the old key, with a reload after each step.
 */
public record KeyRing(List<Key> keys) {

    private static final int MIN_SECRET_BYTES = 16;

    /** A named secret of at least 16 bytes. */
    public record Key(String name, byte[] secret) {}

    /**
     * Parses the text of the file.
     *
     * @throws IllegalArgumentException if it is invalid; the message names the line and never contains a secret
     */
    public static KeyRing read(String text) {
        List<Key> keys = new ArrayList<>();
        Set<String> names = new HashSet<>();
        int lineNumber = 0;
        for (String line : text.split("\n")) {
            lineNumber++;
            String content = line.strip();
            if (content.isEmpty() || content.startsWith("#")) {
                continue;
            }
            String[] parts = content.split("\\s+");
            if (parts.length != 2 || parts[0].getBytes(StandardCharsets.UTF_8).length > Byte.MAX_VALUE) {
                throw new IllegalArgumentException("line " + lineNumber + " of the key file is not 'NAME HEX'");
            }
            keys.add(new Key(parts[0], parseSecret(parts[1], lineNumber)));
            if (!names.add(parts[0])) {
                throw new IllegalArgumentException(
                        "line " + lineNumber + " of the key file repeats the key name '" + parts[0] + "'");
            }
        }
        if (keys.isEmpty()) {
            throw new IllegalArgumentException("the key file holds no keys");
        }
        return new KeyRing(List.copyOf(keys));
    }

    private static byte[] parseSecret(String hex, int lineNumber) {
        byte[] secret;
        try {
            secret = HexFormat.of().parseHex(hex);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("line " + lineNumber + " of the key file has a key that is not hexadecimal");
        }
        if (secret.length < MIN_SECRET_BYTES) {
            throw new IllegalArgumentException("line " + lineNumber + " of the key file has a key of " + secret.length
                    + " bytes; at least 16 are required");
        }
        return secret;
    }

    /** The key that signs. */
    Key signingKey() {
        return keys.get(0);
    }

    /** The secret of the key with this name, or null if there is none. */
    byte[] findSecret(String name) {
        return keys.stream().filter(key -> key.name().equals(name)).map(Key::secret).findFirst().orElse(null);
    }
}
