package org.snipeslip.core.id;

/**
 * Name of a home region, which is a region of the deployment.
 *
 * @param value text of the name, not blank
 */
public record RegionId(String value) implements Comparable<RegionId> {
    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is blank
     */
    public RegionId {
        Names.requireText(value, "RegionId");
    }

    @Override
    public int compareTo(RegionId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
