package org.snipeslip.core.id;

/**
 * Names a failure domain object.
 *
 * @param value the text, never blank
 */
public record FailureDomainId(String value) implements Comparable<FailureDomainId> {
    /**
     * Checks the text.
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
