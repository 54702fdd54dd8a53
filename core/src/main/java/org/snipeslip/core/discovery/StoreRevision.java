package org.snipeslip.core.discovery;

import java.util.Comparator;

/**
 * A position in the history of the store. A store that was restored from a copy gives out revisions
 * again that it had given out before, in a later era.
 *
 * @param era number of times that the store was restored, as the store counts them
 * @param number revision within the era
 */
public record StoreRevision(long era, long number) implements Comparable<StoreRevision> {
    /** Before everything that the store holds. */
    public static final StoreRevision NONE = new StoreRevision(-1, -1);

    private static final Comparator<StoreRevision> ORDER =
            Comparator.comparingLong(StoreRevision::era).thenComparingLong(StoreRevision::number);
    private static final String SEPARATOR = ".";

    /**
     * Parses the text form.
     *
     * @param text what {@link #toString} returns
     * @return the revision
     * @throws NumberFormatException if the text has another form
     */
    public static StoreRevision parse(String text) {
        int separator = text.indexOf(SEPARATOR);
        return new StoreRevision(
                Long.parseLong(text.substring(0, Math.max(0, separator))),
                Long.parseLong(text.substring(separator + 1)));
    }

    /**
     * Returns whether this is the revision of a store.
     *
     * @return false for {@link #NONE}
     */
    public boolean isKnown() {
        return era >= 0;
    }

    /**
     * Compares two positions.
     *
     * @param other the other position
     * @return whether this one is later
     */
    public boolean isAfter(StoreRevision other) {
        return compareTo(other) > 0;
    }

    /**
     * Returns the later one of two positions.
     *
     * @param other the other position
     * @return this or the other one
     */
    public StoreRevision max(StoreRevision other) {
        return other.isAfter(this) ? other : this;
    }

    @Override
    public int compareTo(StoreRevision other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return era + SEPARATOR + number;
    }
}
