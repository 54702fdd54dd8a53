package org.snipeslip.core.id;

/**
 * Name of an instance. A restarted instance keeps its name and gets a new incarnation.
 *
 * @param value text of the name, not blank
 */
public record InstanceId(String value) implements Comparable<InstanceId> {
    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is blank
     */
    public InstanceId {
        Names.requireText(value, "InstanceId");
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
