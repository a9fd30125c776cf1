package pathlane.exchange;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parser for the byte notation of exchange files: hex digits; "text"; {@code {2 ...}} content with a two-byte length prefix;
 * {@code <code ...>} a mandatory AVP; {@code [flags command application hop-by-hop end-to-end ...]} a Diameter message;
 * u32:7 a four-byte number; ?? any byte; ----- any four bytes; $a captures any four bytes at its first use and matches the
 * same bytes later.
 */
final class Notation {

    /** A byte pattern; positions whose {@code mask} is zero match any byte. */
    record Bytes(byte[] bytes, byte[] mask) {
        boolean matches(byte[] other) {
            boolean same = other.length == bytes.length;
            for (int i = 0; same && i < other.length; i++) {
                same = (bytes[i] & mask[i]) == (other[i] & mask[i]);
            }
            return same;
        }

        /** Captures the bytes at named positions: there the mask is zero and the pattern byte is the name. */
        void capture(byte[] other, Map<Character, byte[]> captured) {
            for (int i = 0; i < bytes.length; i++) {
                if (mask[i] == 0 && bytes[i] != 0) {
                    captured.put((char) bytes[i], java.util.Arrays.copyOfRange(other, i, i + 4));
                    i += 3;
                }
            }
        }
    }

    private static final Pattern TOKEN =
            Pattern.compile("\"[^\"]*\"|\\{\\d|<\\d+|\\[\\w+ \\d+ \\d+ \\S+ \\S+|[}>\\]]|u32:\\d+|\\$[a-z]|[-?0-9a-f]+");

    private final Matcher tokens;
    private final Map<Character, byte[]> captured;

    private Notation(String text, Map<Character, byte[]> captured) {
        tokens = TOKEN.matcher(text);
        this.captured = captured;
    }

    static Bytes read(String text, Map<Character, byte[]> captured) {
        return new Notation(text, captured).parseGroup("");
    }

    private Bytes parseGroup(String end) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        ByteArrayOutputStream mask = new ByteArrayOutputStream();
        while (tokens.find()) {
            String token = tokens.group();
            if (token.equals(end)) {
                break;
            }
            Bytes part = switch (token.charAt(0)) {
                case '"' -> exact(token.substring(1, token.length() - 1).getBytes(StandardCharsets.UTF_8));
                case 'u' -> exact(ByteBuffer.allocate(4).putInt(Integer.parseInt(token.substring(4))).array());
                case '{' -> prefixed(token.charAt(1) - '0', parseGroup("}"));
                case '<' -> avp(Integer.parseInt(token.substring(1)), parseGroup(">"));
                case '[' -> message(token.substring(1).split(" "), parseGroup("]"));
                default -> hex(token);
            };
            bytes.writeBytes(part.bytes);
            mask.writeBytes(part.mask);
        }
        return new Bytes(bytes.toByteArray(), mask.toByteArray());
    }

    private static Bytes exact(byte[] bytes) {
        byte[] mask = new byte[bytes.length];
        java.util.Arrays.fill(mask, (byte) -1);
        return new Bytes(bytes, mask);
    }

    private Bytes hex(String token) {
        if (token.startsWith("$")) {
            byte[] value = captured.get(token.charAt(1));
            byte name = (byte) token.charAt(1);
            return value != null ? exact(value) : new Bytes(new byte[] {name, name, name, name}, new byte[4]);
        }
        String digits = token.equals("-----") ? "????????" : token;
        byte[] bytes = new byte[digits.length() / 2];
        byte[] mask = new byte[bytes.length];
        for (int i = 0; i < bytes.length; i++) {
            String one = digits.substring(2 * i, 2 * i + 2);
            mask[i] = (byte) (one.equals("??") ? 0 : -1);
            bytes[i] = one.equals("??") ? 0 : (byte) Integer.parseInt(one, 16);
        }
        return new Bytes(bytes, mask);
    }

    private static Bytes join(Bytes first, Bytes second, int padding) {
        ByteBuffer bytes = ByteBuffer.allocate(first.bytes.length + second.bytes.length + padding);
        ByteBuffer mask = ByteBuffer.wrap(exact(new byte[bytes.capacity()]).bytes);
        java.util.Arrays.fill(mask.array(), (byte) -1);
        bytes.put(first.bytes).put(second.bytes);
        mask.put(first.mask).put(second.mask);
        return new Bytes(bytes.array(), mask.array());
    }

    private static Bytes prefixed(int width, Bytes content) {
        byte[] length = ByteBuffer.allocate(8).putLong(content.bytes.length).array();
        return join(exact(java.util.Arrays.copyOfRange(length, 8 - width, 8)), content, 0);
    }

    private static Bytes avp(int code, Bytes content) {
        int length = 8 + content.bytes.length;
        byte[] head = ByteBuffer.allocate(8).putInt(code).putInt(0x40 << 24 | length).array();
        return join(exact(head), content, (4 - length % 4) % 4);
    }

    private Bytes message(String[] head, Bytes avps) {
        byte[] header = ByteBuffer.allocate(12).putInt(1 << 24 | 20 + avps.bytes.length)
                .putInt(Integer.parseInt(head[0], 16) << 24 | Integer.parseInt(head[1]))
                .putInt(Integer.parseInt(head[2])).array();
        return join(join(exact(header), join(hex(head[3]), hex(head[4]), 0), 0), avps, 0);
    }
}
