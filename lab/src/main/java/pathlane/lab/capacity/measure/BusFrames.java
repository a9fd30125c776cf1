package pathlane.lab.capacity.measure;

import java.nio.ByteBuffer;

/** Events of the bus as bytes, for servers on loopback whose ids are their places and one. */
final class BusFrames {

    /** States of a server, as on the wire. */
    static final int READY = 0;
    static final int DRAINING = 1;

    private static final int LENGTH = 4;
    private static final int HEAD = 9;
    private static final int RECORD = 27;
    private static final byte WHOLE = 1;
    private static final byte CHANGES = 2;
    private static final int LOOPBACK = 0x7f000001;
    private static final int WEIGHT = 1000;

    private BusFrames() { }

    /** The whole list of so many servers that are ready. */
    static byte[] whole(long number, int servers, int port) {
        ByteBuffer frame = head(number, WHOLE, servers);
        for (int place = 0; place < servers; place++) {
            record(frame, place, READY, port);
        }
        return frame.array();
    }

    /** One server has changed. */
    static byte[] change(long number, int place, int state, int port) {
        ByteBuffer frame = head(number, CHANGES, 1);
        record(frame, place, state, port);
        return frame.array();
    }

    private static ByteBuffer head(long number, byte kind, int records) {
        int length = HEAD + records * RECORD;
        return ByteBuffer.allocate(LENGTH + length).putInt(length).putLong(number).put(kind);
    }

    private static void record(ByteBuffer frame, int place, int state, int port) {
        frame.putInt(place + 1).putInt(LOOPBACK).putShort((short) port).put((byte) state).putShort((short) 0)
                .putShort((short) place).putInt(WEIGHT).putLong(0);
    }
}
