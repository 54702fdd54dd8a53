package org.snipeslip.core.membership;

/**
 * Lifeguard's local health multiplier. An instance that does not receive messages in time assumes
 * that it is itself slow, and lengthens its own probe periods and timeouts.
 */
final class LocalHealth {
    private final int maxScore;
    private int score;

    LocalHealth(int maxScore) {
        this.maxScore = maxScore;
    }

    void degrade() {
        score = Math.min(maxScore, score + 1);
    }

    void improve() {
        score = Math.max(0, score - 1);
    }

    /**
     * Returns the factor for probe periods and timeouts: 1 in good health, at most max score + 1.
     */
    int multiplier() {
        return score + 1;
    }
}
