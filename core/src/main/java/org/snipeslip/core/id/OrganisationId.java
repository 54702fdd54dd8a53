package org.snipeslip.core.id;

/**
 * Name of an organisation.
 *
 * @param value text of the name, not blank
 */
public record OrganisationId(String value) implements Comparable<OrganisationId> {
    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is blank
     */
    public OrganisationId {
        Names.requireText(value, "OrganisationId");
    }

    @Override
    public int compareTo(OrganisationId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
