package pathlane.exchange;

import pathlane.core.ConnectionEnd;
import pathlane.link.Connection;

/** A connection to an event bus that takes what is written and never says anything of itself. */
class SilentConnection implements Connection {

    @Override
    public void write(byte[] bytes) {}

    @Override
    public void close(ConnectionEnd why) {}

    @Override
    public String remote() {
        return "bus";
    }
}
