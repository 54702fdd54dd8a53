package org.snipeslip.core.id;

/**
 * Names one backend server within its service.
 *
 * @param value the text, never blank
 */
public record BackendServerId(String value) implements Comparable<BackendServerId> {
    /**
     * Checks the text.
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
