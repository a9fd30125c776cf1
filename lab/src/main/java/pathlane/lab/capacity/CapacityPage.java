package pathlane.lab.capacity;

import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Fills the generated tables of a page, which are enclosed in marker comments. Without side effects. */
public final class CapacityPage {

    private static final Pattern BLOCK = Pattern.compile(
            "(<!-- begin generated: (\\S+) -->\\n).*?(<!-- end generated: \\2 -->)", Pattern.DOTALL);

    private CapacityPage() {}

    /**
     * Returns the page with the content of each block replaced by its table.
     *
     * @throws IllegalArgumentException if a block has no table, or a table no block
     */
    public static String fill(String page, Map<String, String> tables) {
        StringBuilder filled = new StringBuilder();
        Matcher matcher = BLOCK.matcher(page);
        int blocks = 0;
        while (matcher.find()) {
            String table = tables.get(matcher.group(2));
            if (table == null) {
                throw new IllegalArgumentException("the page has a block '" + matcher.group(2) + "' without a table");
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
