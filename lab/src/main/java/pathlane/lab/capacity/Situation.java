package pathlane.lab.capacity;

/** The load situations for which costs are estimated: ordinary operation and failures. */
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

    /** Returns the wording on the page. */
    public String text() {
        return text;
    }
}
