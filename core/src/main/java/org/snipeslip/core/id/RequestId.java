package org.snipeslip.core.id;

/**
 * Names one call of a caller; unique across instances.
 *
 * @param value the text, never blank
 */
public record RequestId(String value) implements Comparable<RequestId> {
    /**
     * Checks the text.
     *
     * @throws IllegalArgumentException if the text is blank
     */
    public RequestId {
        Names.requireText(value, "RequestId");
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
