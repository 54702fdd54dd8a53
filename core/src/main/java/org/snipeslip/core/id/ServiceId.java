package org.snipeslip.core.id;

/**
 * Names a service object.
 *
 * @param value the text, never blank
 */
public record ServiceId(String value) implements Comparable<ServiceId> {
    /**
     * Checks the text.
     *
     * @throws IllegalArgumentException if the text is blank
     */
    public ServiceId {
        Names.requireText(value, "ServiceId");
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
