package pathlane.group;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;

/**
 * The group's secrets, from an operator's file: a line a key, {@code NAME HEX}, lines that begin with {@code #} left out.
 * The first signs; all are accepted. To rotate: add the new one as second everywhere, then put it first everywhere, then
 * take the old one out, with a reload after each.
 */
public record KeyRing(List<Key> keys) {

    private static final int LEAST_BYTES = 16;

    /** One secret; 16 bytes at the least. */
    public record Key(String name, byte[] secret) {}

    /**
     * Reads the file's text.
     *
     * @throws IllegalArgumentException with a sentence that names the line, never the key
     */
    public static KeyRing read(String text) {
        List<Key> keys = new ArrayList<>();
        Set<String> names = new HashSet<>();
        int number = 0;
        for (String line : text.split("\n")) {
            number++;
            String plain = line.strip();
            if (plain.isEmpty() || plain.startsWith("#")) {
                continue;
            }
            String[] parts = plain.split("\\s+");
            if (parts.length != 2 || parts[0].getBytes(StandardCharsets.UTF_8).length > Byte.MAX_VALUE) {
                throw new IllegalArgumentException("line " + number + " of the keys is not a name and hex digits");
            }
            keys.add(new Key(parts[0], secret(parts[1], number)));
            if (!names.add(parts[0])) {
                throw new IllegalArgumentException("line " + number + " of the keys names '" + parts[0] + "' again");
            }
        }
        if (keys.isEmpty()) {
            throw new IllegalArgumentException("the keys' file holds none");
        }
        return new KeyRing(List.copyOf(keys));
    }

    private static byte[] secret(String hex, int number) {
        byte[] secret;
        try {
            secret = HexFormat.of().parseHex(hex);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("line " + number + " of the keys has a key that is not hex digits");
        }
        if (secret.length < LEAST_BYTES) {
            throw new IllegalArgumentException("line " + number + " of the keys has a key of " + secret.length
                    + " bytes; at least 16 are needed");
        }
        return secret;
    }

    /** The one that signs. */
    Key signingKey() {
        return keys.get(0);
    }

    /** The secret of a name, or null. */
    byte[] find(String name) {
        return keys.stream().filter(key -> key.name().equals(name)).map(Key::secret).findFirst().orElse(null);
    }
}
