package org.snipeslip.core.id;

/**
 * Version of the software of a backend server.
 *
 * @param value text of the version, not blank
 */
public record ServerVersion(String value) {
    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is blank
     */
    public ServerVersion {
        Names.requireText(value, "ServerVersion");
    }

    @Override
    public String toString() {
        return value;
    }
}
