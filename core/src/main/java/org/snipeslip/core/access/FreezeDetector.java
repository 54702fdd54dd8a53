package org.snipeslip.core.access;

/**
 * Notices that the wall clock went on while the monotonic clock did not, as in a process or machine
 * that was frozen. Ages by the monotonic clock are then too small. A wall clock that is set forward
 * looks the same, which costs a proof; one that is set back hides nothing that follows. Not
 * thread-safe: nobody may use an age between the check and what follows from it.
 */
public final class FreezeDetector {
    /** Ages by the monotonic clock may be too small by this, without being noticed. */
    public static final long MAX_UNSEEN_NANOS = 250_000_000;

    private long aheadNanos = Long.MAX_VALUE;

    /**
     * Compares the clocks.
     *
     * @param wallNanos time of the wall clock since any fixed moment
     * @param steadyNanos time of the monotonic clock
     * @return by how much the wall clock has run ahead since the last noticed time; 0 if not by
     *     more than {@link #MAX_UNSEEN_NANOS}
     */
    public long check(long wallNanos, long steadyNanos) {
        long nowAheadNanos = wallNanos - steadyNanos;
        long jumpNanos = aheadNanos == Long.MAX_VALUE ? 0 : nowAheadNanos - aheadNanos;
        boolean jumped = jumpNanos > MAX_UNSEEN_NANOS;
        if (jumped || jumpNanos < 0 || aheadNanos == Long.MAX_VALUE) {
            aheadNanos = nowAheadNanos;
        }
        return jumped ? jumpNanos : 0;
    }
}
