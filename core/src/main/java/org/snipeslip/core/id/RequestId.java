package org.snipeslip.core.id;

/**
 * Identifier of one call of a caller, unique across instances.
 *
 * @param value text of the identifier, not blank
 */
public record RequestId(String value) implements Comparable<RequestId> {
    /**
     * Validates the text.
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
