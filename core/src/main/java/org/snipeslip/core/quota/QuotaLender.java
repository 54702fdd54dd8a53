package org.snipeslip.core.quota;

import org.snipeslip.core.suspect.SuspectPeer;

/** What this instance knows about one that it borrows from. Not thread-safe. */
final class QuotaLender {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Less than half of the shortest lease, so that one question may be lost. */
    private static final long RENEWAL_NANOS = 750 * NANOS_PER_MILLI;

    /** Interval of the questions while more is needed. */
    private static final long ASK_NANOS = 250 * NANOS_PER_MILLI;

    /** The first questions for a new need, while calls wait, are closer to each other. */
    private static final long URGENT_NANOS = 15 * NANOS_PER_MILLI;

    private static final int MAX_URGENT_ASKS = 4;

    /** A single message may be lost. */
    private static final int MIN_FAILURES = 2;

    private static final long MIN_AVOIDED_NANOS = 2_000 * NANOS_PER_MILLI;
    private static final long MAX_AVOIDED_NANOS = 30_000 * NANOS_PER_MILLI;
    private static final int MAX_DOUBLINGS = 4;

    private final SuspectPeer peer;
    private long number;
    private boolean pending;
    private boolean sent;
    private boolean everAnswered;
    private long sentNanos;
    private int urgentAsks;
    private int failures;
    private long avoidedUntilNanos;

    QuotaLender(SuspectPeer peer) {
        this.peer = peer;
    }

    SuspectPeer peer() {
        return peer;
    }

    /** Returns whether the last questions were not answered. */
    boolean isAvoided(long nowNanos) {
        return failures >= MIN_FAILURES && avoidedUntilNanos - nowNanos > 0;
    }

    /**
     * Returns whether a question may be sent now.
     *
     * @param more whether more is needed than was lent
     * @param urgent whether calls wait for it
     */
    boolean isDue(boolean more, boolean urgent, long nowNanos) {
        if (pending || isAvoided(nowNanos)) {
            return false;
        }
        long pauseNanos =
                more
                        ? urgent && urgentAsks < MAX_URGENT_ASKS
                                ? URGENT_NANOS << urgentAsks
                                : ASK_NANOS
                        : RENEWAL_NANOS;
        return !sent || nowNanos - sentNanos >= pauseNanos;
    }

    /** Returns the number of a question that is sent now. */
    long ask(boolean urgent, long nowNanos) {
        urgentAsks += urgent ? 1 : 0;
        sent = true;
        pending = true;
        sentNanos = nowNanos;
        return ++number;
    }

    long sentNanos() {
        return sentNanos;
    }

    /** Notes that a question was answered; returns false if it is not the last one. */
    boolean answered(long answeredNumber) {
        if (!pending || answeredNumber != number) {
            return false;
        }
        pending = false;
        failures = 0;
        everAnswered = true;
        return true;
    }

    /** Returns whether the other instance has answered, and so counts this one. */
    boolean countsThisInstance() {
        return everAnswered;
    }

    /** Notes that all that was asked for was lent. */
    void satisfied() {
        urgentAsks = 0;
    }

    /** Notes that a question got no answer. */
    void failed(long failedNumber, long nowNanos) {
        if (pending && failedNumber == number) {
            pending = false;
            int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, ++failures - MIN_FAILURES));
            long avoidedNanos = Math.min(MAX_AVOIDED_NANOS, MIN_AVOIDED_NANOS << doublings);
            avoidedUntilNanos = nowNanos + avoidedNanos;
        }
    }
}
