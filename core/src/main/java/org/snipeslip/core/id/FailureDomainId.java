package org.snipeslip.core.id;

/**
 * Name of a failure domain.
 *
 * @param value text of the name, not blank
 */
public record FailureDomainId(String value) implements Comparable<FailureDomainId> {
    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is blank
     */
    public FailureDomainId {
        Names.requireText(value, "FailureDomainId");
    }

    @Override
    public int compareTo(FailureDomainId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
