package org.snipeslip.core.membership;

/**
 * Lifeguard's local health multiplier: an instance that gets no messages in time distrusts itself
 * first, and gives its peers more time.
 */
final class LocalHealth {
    private final int max;
    private int score;

    LocalHealth(int max) {
        this.max = max;
    }

    void worse() {
        score = Math.min(max, score + 1);
    }

    void better() {
        score = Math.max(0, score - 1);
    }

    /** Returns the factor for periods and timeouts, 1 in good health. */
    int multiplier() {
        return score + 1;
    }
}
