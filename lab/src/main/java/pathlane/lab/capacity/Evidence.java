package pathlane.lab.capacity;

/** How well a figure is known, from best to worst. */
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

    Evidence worse(Evidence other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
