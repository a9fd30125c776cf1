package pathlane.exchange;

import pathlane.core.CloseReason;
import pathlane.transport.Connection;

/** An event bus connection that discards all writes and never reports anything. */
class SilentConnection implements Connection {

    @Override
    public void write(byte[] bytes) {}

    @Override
    public void close(CloseReason reason) {}

    @Override
    public String remote() {
        return "bus";
    }
}
