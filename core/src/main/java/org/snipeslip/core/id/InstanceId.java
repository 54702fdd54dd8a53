package org.snipeslip.core.id;

/**
 * Names one process of snipeslip; a restarted process gets a new incarnation, not a new name.
 *
 * @param value the text, never blank
 */
public record InstanceId(String value) implements Comparable<InstanceId> {
    /**
     * Checks the text.
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
