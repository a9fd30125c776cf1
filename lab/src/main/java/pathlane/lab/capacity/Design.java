package pathlane.lab.capacity;

/** How controllers hear of servers. */
public enum Design {
    /** As today: the bus tells each controller of every server, and each controller connects to all of them. */
    BROADCAST("today's broadcast"),
    /** Each controller watches the services that it calls, at relays that hold the whole catalogue. */
    SCOPED("scoped watches with relays");

    private final String text;

    Design(String text) {
        this.text = text;
    }

    /** As the page says it. */
    public String text() {
        return text;
    }
}
