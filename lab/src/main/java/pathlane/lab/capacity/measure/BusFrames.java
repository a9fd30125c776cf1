package pathlane.lab.capacity.measure;

import java.nio.ByteBuffer;

/** Encodes events of the bus for servers on loopback, whose ids are their indices plus one. */
final class BusFrames {

    /** Server states on the wire. */
    static final int READY = 0;
    static final int DRAINING = 1;

    private static final int LENGTH_BYTES = 4;
    private static final int HEADER_BYTES = 9;
    private static final int RECORD_BYTES = 27;
    private static final byte COMPLETE_LIST = 1;
    private static final byte CHANGES = 2;
    private static final int LOOPBACK = 0x7f000001;
    private static final int WEIGHT = 1000;

    private BusFrames() {}

    /** Encodes a complete list of this many servers, all ready. */
    static byte[] completeList(long number, int servers, int port) {
        ByteBuffer frame = header(number, COMPLETE_LIST, servers);
        for (int index = 0; index < servers; index++) {
            record(frame, index, READY, port);
        }
        return frame.array();
    }

    /** Encodes the change of one server. */
    static byte[] change(long number, int index, int state, int port) {
        ByteBuffer frame = header(number, CHANGES, 1);
        record(frame, index, state, port);
        return frame.array();
    }

    private static ByteBuffer header(long number, byte kind, int records) {
        int length = HEADER_BYTES + records * RECORD_BYTES;
        return ByteBuffer.allocate(LENGTH_BYTES + length).putInt(length).putLong(number).put(kind);
    }

    private static void record(ByteBuffer frame, int index, int state, int port) {
        frame.putInt(index + 1).putInt(LOOPBACK).putShort((short) port).put((byte) state).putShort((short) 0)
                .putShort((short) index).putInt(WEIGHT).putLong(0);
    }
}
