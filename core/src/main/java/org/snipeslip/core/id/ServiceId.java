package org.snipeslip.core.id;

/**
 * Name of a service.
 *
 * @param value text of the name, not blank
 */
public record ServiceId(String value) implements Comparable<ServiceId> {
    /**
     * Validates the text.
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
