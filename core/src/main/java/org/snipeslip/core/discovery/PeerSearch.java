package org.snipeslip.core.discovery;

import java.util.List;
import java.util.function.Predicate;

/**
 * Goes through all other instances, to find one that hears of changes while this instance has lost
 * both the store and the instance that it followed. Each of them is asked in turn, with a pause
 * after some tries, so that many instances that search at the same time load the others little.
 */
final class PeerSearch {
    /**
     * If the store refuses two thirds of the instances, one of 25 searches needs a second round.
     */
    private static final int TRIES_BEFORE_PAUSE = 8;

    private final long pauseNanos;
    private List<String> addresses = List.of();
    private int next;
    private int tries;
    private long dueNanos = Long.MIN_VALUE;

    PeerSearch(long pauseNanos) {
        this.pauseNanos = pauseNanos;
    }

    void setAddresses(List<String> newAddresses) {
        addresses = List.copyOf(newAddresses);
        next = 0;
    }

    /** Returns until when nobody is asked, in the past if there is no pause. */
    long dueNanos() {
        return dueNanos;
    }

    /** Returns the next instance to ask, or null if nobody is to be asked now. */
    String next(Predicate<String> askable, long nowNanos) {
        if (nowNanos < dueNanos) {
            return null;
        }
        for (int skipped = 0; skipped < addresses.size() && tries < TRIES_BEFORE_PAUSE; skipped++) {
            String address = addresses.get(next % addresses.size());
            next++;
            if (askable.test(address)) {
                tries++;
                return address;
            }
        }
        tries = 0;
        dueNanos = nowNanos + pauseNanos;
        return null;
    }

    /** Begins with the first instance again the next time. */
    void end() {
        next = 0;
        tries = 0;
        dueNanos = Long.MIN_VALUE;
    }
}
