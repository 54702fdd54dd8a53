package org.snipeslip.core.id;

/**
 * Name of a route.
 *
 * @param value text of the name, not blank
 */
public record RouteId(String value) implements Comparable<RouteId> {
    /**
     * Validates the text.
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
