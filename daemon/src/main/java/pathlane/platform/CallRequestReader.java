package pathlane.platform;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import pathlane.config.Settings;
import pathlane.core.CallRequest;
import pathlane.wire.Message;

/**
 * Parses and validates a client's call request. Invalid requests must not reach session servers: these answer some of them
 * with an error, and close the connection that all other calls share on others.
 */
final class CallRequestReader {

    private static final long NO_ID = 0;
    /** Clients wait for part of their call class's deadline; a wait of more than this multiple of it is invalid. */
    private static final int MAX_DEADLINE_MULTIPLE = 2;
    private static final int MAX_WIDTH = 8;
    private static final int NO_POOL = -1;
    private static final int MAX_POOL = 0xffff;

    /** The request is invalid; the message states why. */
    static final class InvalidRequestException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        InvalidRequestException(String reason) {
            super(reason, null, false, false);   // clients can trigger it at any rate: no stack trace
        }
    }

    private CallRequestReader() {}

    static CallRequest read(Message message, Settings settings) {
        if (message.callId == NO_ID) {
            throw new InvalidRequestException("no call id");
        }
        int callClass = settings.indexOfClass(required(message, Message.CALL_CLASS, "class"));
        if (callClass < 0) {
            throw new InvalidRequestException("unknown call class");
        }
        Duration maxDeadline = settings.classes().get(callClass).deadline().multipliedBy(MAX_DEADLINE_MULTIPLE);
        int remainingMillis = integer("patience", required(message, Message.REMAINING_DEADLINE, "patience"), 1,
                (int) Math.min(Integer.MAX_VALUE, maxDeadline.toMillis()));
        String destination = required(message, Message.DESTINATION, "destination");
        byte[] description = message.value(Message.DESCRIPTION);
        if (description == null) {
            throw new InvalidRequestException("no description");
        }
        int preferredPool = preferredPool(required(message, Message.ROUTING_PARAMETERS, "figures"));
        return new CallRequest(message.id(), callClass, destination, Duration.ofMillis(remainingMillis), preferredPool,
                description);
    }

    /**
     * Parses the figures, such as {@code dest:2;width:1;via:-1}, and returns the preferred pool. Those known here must be in
     * range, others are ignored; dest and width are required.
     */
    private static int preferredPool(String figures) {
        int preferredPool = Integer.MIN_VALUE;
        boolean hasWidth = false;
        for (String figure : figures.split(";")) {
            int colon = figure.indexOf(':');
            String name = colon < 0 ? figure : figure.substring(0, colon);
            String value = figure.substring(colon + 1);
            switch (name) {
                case "dest" -> preferredPool = integer(name, value, NO_POOL, MAX_POOL);
                case "via" -> integer(name, value, NO_POOL, MAX_POOL);
                case "width" -> {
                    integer(name, value, 1, MAX_WIDTH);
                    hasWidth = true;
                }
                default -> {}   // for example again:1
            }
        }
        if (preferredPool == Integer.MIN_VALUE || !hasWidth) {
            throw new InvalidRequestException("figures without dest or width");
        }
        return preferredPool;
    }

    /**
     * Returns a text that must be present. It is decoded strictly: what replaces malformed input would be longer when it is
     * encoded again, so that the request for the session server could exceed the maximum length of a message.
     */
    private static String required(Message message, int code, String name) {
        byte[] value = message.value(code);
        if (value == null || value.length == 0) {
            throw new InvalidRequestException("no " + name);
        }
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(value)).toString();
        } catch (CharacterCodingException e) {
            throw new InvalidRequestException(name + " is not UTF-8 text");
        }
    }

    private static int integer(String name, String text, int min, int max) {
        try {
            int number = Integer.parseInt(text.strip());
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // reported below, as a number out of range is
        }
        throw new InvalidRequestException(name + " is not an integer from " + min + " to " + max);
    }
}
