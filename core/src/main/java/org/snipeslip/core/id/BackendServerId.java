package org.snipeslip.core.id;

/**
 * Name of a backend server, unique within its service.
 *
 * @param value text of the name, not blank
 */
public record BackendServerId(String value) implements Comparable<BackendServerId> {
    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is blank
     */
    public BackendServerId {
        Names.requireText(value, "BackendServerId");
    }

    @Override
    public int compareTo(BackendServerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
