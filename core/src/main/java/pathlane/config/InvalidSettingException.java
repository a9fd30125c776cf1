package pathlane.config;

/** A setting is missing, or out of its range; the message names it. */
public final class InvalidSettingException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    /** {@code setting} is the setting's name, as its reader knows it. */
    public InvalidSettingException(String setting) {
        super("setting can't be used: " + setting);
    }
}
