package org.snipeslip.core.id;

/**
 * Names an organisation object.
 *
 * @param value the text, never blank
 */
public record OrganisationId(String value) implements Comparable<OrganisationId> {
    /**
     * Checks the text.
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
