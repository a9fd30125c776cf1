package pathlane.lab.capacity;

/** An ordinary second, or a bad one. */
public enum Situation {
    ORDINARY("ordinary second"),
    ZONE_LOST("zone lost at once"),
    RACK_LOST("rack lost"),
    ROLLING_RELEASE("rolling release"),
    RELAY_LOST("relay machine lost"),
    REGION_BACK("region back after a cut"),
    ALL_RECONNECT("all controllers reconnect");

    private final String text;

    Situation(String text) {
        this.text = text;
    }

    /** As the page says it. */
    public String text() {
        return text;
    }
}
