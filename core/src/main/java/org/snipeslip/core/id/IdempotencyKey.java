package org.snipeslip.core.id;

/**
 * The caller's idempotency key, scoped to its organisation and route.
 *
 * @param value the text, never blank
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {
    /**
     * Checks the text.
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
