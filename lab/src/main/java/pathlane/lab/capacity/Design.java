package pathlane.lab.capacity;

/** How controllers are notified of servers. */
public enum Design {
    /** The current design: the bus notifies each controller of every server, and each controller connects to all. */
    BROADCAST("today's broadcast"),
    /** Each controller watches the services that it calls, at relays that hold the complete catalogue. */
    SCOPED("scoped watches with relays");

    private final String text;

    Design(String text) {
        this.text = text;
    }

    /** Returns the wording on the page. */
    public String text() {
        return text;
    }
}
