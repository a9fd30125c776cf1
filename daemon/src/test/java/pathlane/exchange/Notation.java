package pathlane.exchange;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The bytes of exchange files: hex, "text", {@code {2 ...}} with a length of two bytes before it, {@code <code
 * ...>} a mandatory AVP, {@code [flags command application hop end ...]} a Diameter message, u32:7 a number of
 * four bytes, ?? any byte, ----- any four bytes, $a any four bytes that are kept, and later those again.
 */
final class Notation {

    /** Any byte at places where {@code mask} is nought. */
    record Bytes(byte[] bytes, byte[] mask) {
        boolean matches(byte[] other) {
            boolean same = other.length == bytes.length;
            for (int i = 0; same && i < other.length; i++) {
                same = (bytes[i] & mask[i]) == (other[i] & mask[i]);
            }
            return same;
        }

        /** Keeps what stands where names were given: there the mask is nought and the byte is the name. */
        void keep(byte[] other, Map<Character, byte[]> kept) {
            for (int i = 0; i < bytes.length; i++) {
                if (mask[i] == 0 && bytes[i] != 0) {
                    kept.put((char) bytes[i], java.util.Arrays.copyOfRange(other, i, i + 4));
                    i += 3;
                }
            }
        }
    }

    private static final Pattern TOKEN =
            Pattern.compile("\"[^\"]*\"|\\{\\d|<\\d+|\\[\\w+ \\d+ \\d+ \\S+ \\S+|[}>\\]]|u32:\\d+|\\$[a-z]|[-?0-9a-f]+");

    private final Matcher tokens;
    private final Map<Character, byte[]> kept;

    private Notation(String text, Map<Character, byte[]> kept) {
        tokens = TOKEN.matcher(text);
        this.kept = kept;
    }

    static Bytes read(String text, Map<Character, byte[]> kept) {
        return new Notation(text, kept).group("");
    }

    private Bytes group(String end) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        ByteArrayOutputStream mask = new ByteArrayOutputStream();
        while (tokens.find()) {
            String token = tokens.group();
            if (token.equals(end)) {
                break;
            }
            Bytes part = switch (token.charAt(0)) {
                case '"' -> sure(token.substring(1, token.length() - 1).getBytes(StandardCharsets.UTF_8));
                case 'u' -> sure(ByteBuffer.allocate(4).putInt(Integer.parseInt(token.substring(4))).array());
                case '{' -> prefixed(token.charAt(1) - '0', group("}"));
                case '<' -> avp(Integer.parseInt(token.substring(1)), group(">"));
                case '[' -> message(token.substring(1).split(" "), group("]"));
                default -> hex(token);
            };
            bytes.writeBytes(part.bytes);
            mask.writeBytes(part.mask);
        }
        return new Bytes(bytes.toByteArray(), mask.toByteArray());
    }

    private static Bytes sure(byte[] bytes) {
        byte[] mask = new byte[bytes.length];
        java.util.Arrays.fill(mask, (byte) -1);
        return new Bytes(bytes, mask);
    }

    private Bytes hex(String token) {
        if (token.startsWith("$")) {
            byte[] value = kept.get(token.charAt(1));
            byte name = (byte) token.charAt(1);
            return value != null ? sure(value) : new Bytes(new byte[] {name, name, name, name}, new byte[4]);
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

    private static Bytes join(Bytes one, Bytes other, int padding) {
        ByteBuffer bytes = ByteBuffer.allocate(one.bytes.length + other.bytes.length + padding);
        ByteBuffer mask = ByteBuffer.wrap(sure(new byte[bytes.capacity()]).bytes);
        java.util.Arrays.fill(mask.array(), (byte) -1);
        bytes.put(one.bytes).put(other.bytes);
        mask.put(one.mask).put(other.mask);
        return new Bytes(bytes.array(), mask.array());
    }

    private static Bytes prefixed(int width, Bytes content) {
        byte[] length = ByteBuffer.allocate(8).putLong(content.bytes.length).array();
        return join(sure(java.util.Arrays.copyOfRange(length, 8 - width, 8)), content, 0);
    }

    private static Bytes avp(int code, Bytes content) {
        int length = 8 + content.bytes.length;
        byte[] head = ByteBuffer.allocate(8).putInt(code).putInt(0x40 << 24 | length).array();
        return join(sure(head), content, (4 - length % 4) % 4);
    }

    private Bytes message(String[] head, Bytes avps) {
        byte[] begin = ByteBuffer.allocate(12).putInt(1 << 24 | 20 + avps.bytes.length)
                .putInt(Integer.parseInt(head[0], 16) << 24 | Integer.parseInt(head[1]))
                .putInt(Integer.parseInt(head[2])).array();
        return join(join(sure(begin), join(hex(head[3]), hex(head[4]), 0), 0), avps, 0);
    }
}
