package pathlane.lab.capacity;

/** How a figure was obtained, from most to least reliable. */
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

    /** Returns the wording on the page. */
    public String text() {
        return text;
    }
}
