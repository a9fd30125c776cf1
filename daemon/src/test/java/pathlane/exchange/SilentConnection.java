package pathlane.exchange;

import pathlane.core.CloseReason;
import pathlane.transport.Connection;

/** A connection to an event bus that takes what is written and never says anything of itself. */
class SilentConnection implements Connection {

    @Override
    public void write(byte[] bytes) {}

    @Override
    public void close(CloseReason why) {}

    @Override
    public String remote() {
        return "bus";
    }
}
