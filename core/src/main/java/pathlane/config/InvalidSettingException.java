package pathlane.config;

/** Thrown if a setting is missing or out of range; the message contains its name. */
public final class InvalidSettingException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    /** {@code setting} is the setting's name as written in the configuration. */
    public InvalidSettingException(String setting) {
        super("invalid setting: " + setting);
    }
}
