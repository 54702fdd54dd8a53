package org.snipeslip.server.settings;

/**
 * A fault in the settings of a process.
 *
 * @param key path of the key; empty if the fault concerns the whole file
 * @param rule the violated rule
 * @param detail the value found and what is allowed
 */
public record SettingsFault(String key, Rule rule, String detail) {
    @Override
    public String toString() {
        return (key.isEmpty() ? "" : key + ": ") + rule + ": " + detail;
    }

    /** Rules that settings must satisfy. */
    public enum Rule {
        /** The file cannot be read. */
        UNREADABLE,
        /** The text is not valid YAML. */
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
