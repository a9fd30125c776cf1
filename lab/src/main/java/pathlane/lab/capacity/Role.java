package pathlane.lab.capacity;

/** The roles whose costs are estimated. */
public enum Role {
    CONTROLLER("call controller"),
    SESSION_SERVER("session server"),
    SOURCE("discovery source"),
    ZONE_RELAY("zone relay"),
    REGION_RELAY("region relay"),
    VOTER("voter of the register"),
    ACKNOWLEDGEMENT_COLLECTOR("gatherer of acknowledgements");

    private final String text;

    Role(String text) {
        this.text = text;
    }

    /** Returns the wording on the page. */
    public String text() {
        return text;
    }
}
