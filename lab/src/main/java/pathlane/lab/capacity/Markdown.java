package pathlane.lab.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Builds a Markdown table, and formats figures for it. */
final class Markdown {

    private static final double THOUSAND = 1e3;
    private static final double MILLION = 1e6;
    private static final double BILLION = 1e9;
    private static final double MIN_WITHOUT_DECIMALS = 100;
    private static final double MIN_WITH_ONE_DECIMAL = 10;

    private final List<List<String>> rows = new ArrayList<>();

    Markdown(String... header) {
        rows.add(List.of(header));
        rows.add(List.of(header).stream().map(any -> "---").toList());
    }

    Markdown row(String... cells) {
        rows.add(List.of(cells));
        return this;
    }

    String text() {
        StringBuilder text = new StringBuilder();
        rows.forEach(row -> text.append("| ").append(String.join(" | ", row)).append(" |\n"));
        return text.toString();
    }

    /** Formats a number with about three significant digits. */
    static String number(double value) {
        if (Double.isNaN(value)) {
            return Evidence.NOT_MEASURED.text();
        }
        if (Double.isInfinite(value)) {
            return "none";
        }
        double size = Math.abs(value);
        String format =
                size >= MIN_WITHOUT_DECIMALS || value == Math.rint(value) ? "%,.0f" : size >= MIN_WITH_ONE_DECIMAL ? "%.1f"
                        : size >= 1 ? "%.2f" : "%.3f";
        return String.format(Locale.ROOT, format, value);
    }

    static String number(Estimate estimate) {
        return number(estimate.value());
    }

    /** Formats bytes with a decimal prefix. */
    static String bytes(Estimate estimate) {
        double value = estimate.value();
        if (!estimate.isKnown() || value < THOUSAND) {
            return number(value) + (estimate.isKnown() ? " B" : "");
        }
        return value < MILLION ? number(value / THOUSAND) + " KB" : value < BILLION ? number(value / MILLION) + " MB"
                : number(value / BILLION) + " GB";
    }

    /** Formats a figure with its unit. */
    static String quantity(Estimate estimate, String unit) {
        return switch (unit) {
            case "B" -> bytes(estimate);
            case "B/s" -> estimate.isKnown() ? bytes(estimate) + "/s" : number(estimate);
            default -> estimate.isKnown() ? number(estimate) + " " + unit : number(estimate);
        };
    }
}
