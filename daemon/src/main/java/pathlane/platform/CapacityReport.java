package pathlane.platform;

import pathlane.wire.ProtocolException;

/**
 * A session server's report of its slots, such as {@code free:12;size:299} on the wire.
 *
 * @param freeSlots the free slots, or NaN if not reported
 * @param slots all slots, or NaN if not reported
 */
record CapacityReport(double freeSlots, double slots) {

    private static final String FREE_PREFIX = "free:";
    private static final String SIZE_PREFIX = "size:";

    /**
     * Parses a report; fields with other names are ignored.
     *
     * @throws ProtocolException if a value is not a number
     */
    static CapacityReport parse(String report) {
        double freeSlots = Double.NaN;
        double slots = Double.NaN;
        for (String field : report.split(";")) {
            try {
                if (field.startsWith(FREE_PREFIX)) {
                    freeSlots = Double.parseDouble(field.substring(FREE_PREFIX.length()));
                } else if (field.startsWith(SIZE_PREFIX)) {
                    slots = Double.parseDouble(field.substring(SIZE_PREFIX.length()));
                }
            } catch (NumberFormatException e) {
                throw new ProtocolException("malformed capacity report '" + field + "'");
            }
        }
        return new CapacityReport(freeSlots, slots);
    }
}
