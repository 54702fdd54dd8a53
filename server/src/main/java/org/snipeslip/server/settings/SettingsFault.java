package org.snipeslip.server.settings;

/**
 * One fault in the settings of a process.
 *
 * @param key path of the key, or empty for the whole file
 * @param rule the rule that was broken
 * @param detail the value found and what is allowed
 */
public record SettingsFault(String key, Rule rule, String detail) {
    @Override
    public String toString() {
        return (key.isEmpty() ? "" : key + ": ") + rule + ": " + detail;
    }

    /** The rules of settings. */
    public enum Rule {
        /** The file cannot be read. */
        UNREADABLE,
        /** The text is no valid YAML. */
        SYNTAX,
        /** The key is not known. */
        UNKNOWN_KEY,
        /** A required key is missing. */
        MISSING_KEY,
        /** A value has the wrong type. */
        WRONG_TYPE,
        /** A value is out of its range or does not have the required form. */
        OUT_OF_RANGE,
        /** Two keys contradict each other. */
        CONTRADICTION
    }
}
