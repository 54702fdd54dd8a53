package org.snipeslip.core.id;

/**
 * Names a home region object, which is a region of the deployment.
 *
 * @param value the text, never blank
 */
public record RegionId(String value) implements Comparable<RegionId> {
    /**
     * Checks the text.
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
