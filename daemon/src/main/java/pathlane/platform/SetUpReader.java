package pathlane.platform;

import java.time.Duration;
import pathlane.config.Settings;
import pathlane.core.CallRequest;
import pathlane.wire.Message;

/**
 * Reads a caller's set-up. Guards session servers against what they can't use: they answer it with an error, and some
 * of it makes them close the connection that all other calls share.
 */
final class SetUpReader {

    private static final long NO_ID = 0;
    /** Callers wait for a part of their class's deadline; what is longer than so many of it is no such wait. */
    private static final int MOST_DEADLINES = 2;
    private static final int MOST_WIDTH = 8;
    private static final int NONE = -1;
    private static final int MOST_CELL = 0xffff;

    /** A set-up that can't be used; the message says why. */
    static final class Unusable extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Unusable(String why) {
            super(why, null, false, false);   // bad clients throw it at will: no stack trace
        }
    }

    private SetUpReader() {}

    static CallRequest read(Message message, Settings settings) {
        if (message.call == NO_ID) {
            throw new Unusable("no id");
        }
        int callClass = settings.indexOfClass(required(message, Message.CLASS, "class"));
        if (callClass < 0) {
            throw new Unusable("a class that is not in the settings");
        }
        Duration most = settings.classes().get(callClass).deadline().multipliedBy(MOST_DEADLINES);
        int patience = whole("patience", required(message, Message.PATIENCE, "patience"), 1,
                (int) Math.min(Integer.MAX_VALUE, most.toMillis()));
        String number = required(message, Message.NUMBER, "number called");
        byte[] description = message.value(Message.DESCRIPTION);
        if (description == null) {
            throw new Unusable("no description");
        }
        int firstChoice = firstChoice(required(message, Message.FIGURES, "figures"));
        return new CallRequest(message.id(), callClass, number, Duration.ofMillis(patience), firstChoice, description);
    }

    /** The figures, such as {@code dest:2;width:1;via:-1}: all that are known must be in range, two must be there. */
    private static int firstChoice(String figures) {
        int firstChoice = Integer.MIN_VALUE;
        boolean width = false;
        for (String figure : figures.split(";")) {
            int colon = figure.indexOf(':');
            String name = colon < 0 ? figure : figure.substring(0, colon);
            String value = figure.substring(colon + 1);
            switch (name) {
                case "dest" -> firstChoice = whole(name, value, NONE, MOST_CELL);
                case "via" -> whole(name, value, NONE, MOST_CELL);
                case "width" -> {
                    whole(name, value, 1, MOST_WIDTH);
                    width = true;
                }
                default -> {}   // such as again:1
            }
        }
        if (firstChoice == Integer.MIN_VALUE || !width) {
            throw new Unusable("figures without dest and width");
        }
        return firstChoice;
    }

    private static String required(Message message, int code, String name) {
        String value = message.text(code);
        if (value.isEmpty()) {
            throw new Unusable("no " + name);
        }
        return value;
    }

    private static int whole(String name, String text, int least, int most) {
        try {
            int number = Integer.parseInt(text.strip());
            if (number >= least && number <= most) {
                return number;
            }
        } catch (NumberFormatException e) {
            // said below
        }
        throw new Unusable(name + " that is no whole number from " + least + " to " + most);
    }
}
