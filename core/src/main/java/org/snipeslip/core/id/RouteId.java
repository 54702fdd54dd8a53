package org.snipeslip.core.id;

/**
 * Names a route object.
 *
 * @param value the text, never blank
 */
public record RouteId(String value) implements Comparable<RouteId> {
    /**
     * Checks the text.
     *
     * @throws IllegalArgumentException if the text is blank
     */
    public RouteId {
        Names.requireText(value, "RouteId");
    }

    @Override
    public int compareTo(RouteId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
