package org.snipeslip.core.id;

/**
 * Number of a published configuration; grows by one with each publication.
 *
 * @param number zero for "no configuration yet"
 */
public record Generation(long number) implements Comparable<Generation> {
    /** The state before any configuration was adopted. */
    public static final Generation NONE = new Generation(0);

    /**
     * Returns the generation that follows this one.
     *
     * @return the next generation
     */
    public Generation next() {
        return new Generation(number + 1);
    }

    /**
     * Compares by number.
     *
     * @param other the other generation
     * @return whether this generation is newer
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
