package pathlane.lab.capacity;

/** What a figure rests on, from best to worst. */
public enum Evidence {
    MEASURED("measured"),
    INTERPOLATED("between measured sizes"),
    EXTRAPOLATED("extrapolated"),
    ASSUMED("assumed"),
    NOT_MEASURED("not measured");

    private final String text;

    Evidence(String text) {
        this.text = text;
    }

    /** As the page says it. */
    public String text() {
        return text;
    }
}
