package org.snipeslip.core.id;

/**
 * Idempotency key of a call, chosen by the caller and scoped to its organisation and route.
 *
 * @param value text of the key, not blank
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {
    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the text is blank
     */
    public IdempotencyKey {
        Names.requireText(value, "IdempotencyKey");
    }

    @Override
    public int compareTo(IdempotencyKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
