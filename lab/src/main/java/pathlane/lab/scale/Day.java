package pathlane.lab.scale;

/** What can happen in a scale run. */
enum Day {
    ORDINARY("ordinary", ""),
    HUNDREDFOLD("a hundred times the changes", "hundredfold-"),
    ZONE_LOST("a zone's servers gone at once", "zone-"),
    ZONE_BACK("the zone's servers back at once", "zone-back-"),
    ROLLING_RELEASE("rolling release", "release-"),
    RELAY_KILLED("a relay killed and restarted", "relay-killed-"),
    REGION_CUT("a region cut from the source", "region-cut-"),
    ALL_RECONNECT("all reconnecting at once", "reconnect-");

    private final String title;
    private final String filePrefix;

    Day(String title, String filePrefix) {
        this.title = title;
        this.filePrefix = filePrefix;
    }

    /** As the table names it. */
    String title() {
        return title;
    }

    /** What the names of its files of figures begin with. */
    String filePrefix() {
        return filePrefix;
    }
}
