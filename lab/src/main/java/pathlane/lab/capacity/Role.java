package pathlane.lab.capacity;

/** Who bears a cost. */
public enum Role {
    CONTROLLER("call controller"),
    SESSION_SERVER("session server"),
    SOURCE("discovery source"),
    ZONE_RELAY("zone relay"),
    REGION_RELAY("region relay"),
    VOTER("voter of the register"),
    GATHERER("gatherer of acknowledgements");

    private final String text;

    Role(String text) {
        this.text = text;
    }

    /** As the page says it. */
    public String text() {
        return text;
    }
}
