package pathlane.lab.capacity;

import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A page that holds generated tables between marker comments. Pure. */
public final class CapacityPage {

    private static final Pattern BLOCK = Pattern.compile(
            "(<!-- begin generated: (\\S+) -->\\n).*?(<!-- end generated: \\2 -->)", Pattern.DOTALL);

    private CapacityPage() {}

    /**
     * The page with each block filled anew.
     *
     * @throws IllegalArgumentException where a block has no table, or a table no block
     */
    public static String fill(String page, Map<String, String> tables) {
        StringBuilder filled = new StringBuilder();
        Matcher matcher = BLOCK.matcher(page);
        int blocks = 0;
        while (matcher.find()) {
            String table = tables.get(matcher.group(2));
            if (table == null) {
                throw new IllegalArgumentException("the page has a block '" + matcher.group(2) + "' that no table fills");
            }
            matcher.appendReplacement(filled, Matcher.quoteReplacement(matcher.group(1) + table + matcher.group(3)));
            blocks++;
        }
        if (blocks != tables.size()) {
            throw new IllegalArgumentException("the page has " + blocks + " blocks for " + tables.size() + " tables");
        }
        return matcher.appendTail(filled).toString();
    }
}
