package pathlane.platform;

import pathlane.wire.BadInput;

/**
 * A session server's report of its lines, on the wire a state such as {@code free:12;size:299}.
 *
 * @param free the lines that are free, or NaN where the report does not say
 * @param size all its lines, or NaN where the report does not say
 */
record CapacityReport(double free, double size) {

    private static final String FREE = "free:";
    private static final String SIZE = "size:";

    /**
     * Reads a state; figures of other names are passed over.
     *
     * @throws BadInput where a figure is no number
     */
    static CapacityReport parse(String state) {
        double free = Double.NaN;
        double size = Double.NaN;
        for (String figure : state.split(";")) {
            try {
                if (figure.startsWith(FREE)) {
                    free = Double.parseDouble(figure.substring(FREE.length()));
                } else if (figure.startsWith(SIZE)) {
                    size = Double.parseDouble(figure.substring(SIZE.length()));
                }
            } catch (NumberFormatException e) {
                throw new BadInput("a state '" + figure + "'");
            }
        }
        return new CapacityReport(free, size);
    }
}
