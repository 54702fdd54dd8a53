package org.snipeslip.core.id;

/**
 * Number of a published configuration; it increases by one with each publication.
 *
 * @param number the number; 0 before the first configuration
 */
public record Generation(long number) implements Comparable<Generation> {
    /** The generation before the first configuration is adopted. */
    public static final Generation NONE = new Generation(0);

    /**
     * Returns the next generation.
     *
     * @return the generation with the number that follows this one
     */
    public Generation next() {
        return new Generation(number + 1);
    }

    /**
     * Returns whether this generation is newer than another.
     *
     * @param other the other generation
     * @return true if the number of this generation is higher; false for equal generations
     */
    public boolean isNewerThan(Generation other) {
        return number > other.number;
    }

    @Override
    public int compareTo(Generation other) {
        return Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return Long.toString(number);
    }
}
