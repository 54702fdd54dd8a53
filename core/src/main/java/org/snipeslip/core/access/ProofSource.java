package org.snipeslip.core.access;

/** Tells since when a configuration is known to be the newest one. */
@FunctionalInterface
public interface ProofSource {
    /** Nothing shows that the configuration is the newest one. */
    long NONE = Long.MIN_VALUE;

    /**
     * Returns when the newest question was sent whose answer has shown that there was no newer
     * configuration than the given one.
     *
     * @param version version of the configuration by which is decided
     * @return time of the monotonic clock, or {@link #NONE}
     */
    long provenAtNanos(long version);
}
