package org.snipeslip.core.retry;

/**
 * Token bucket of the retries and hedges of one service: each call adds a fraction of a token, each
 * further try takes one. It bounds the extra load while backend servers fail.
 */
public final class RetryBudget {
    /** Tokens at the start and at most; lets a service with few calls retry at all. */
    public static final int BURST = 10;

    private final double perCall;
    private double tokens = BURST;

    /**
     * Creates a full budget.
     *
     * @param percent further tries per hundred calls
     */
    public RetryBudget(int percent) {
        this.perCall = percent / 100.0;
    }

    /** Counts a call. */
    public void earn() {
        tokens = Math.min(BURST, tokens + perCall);
    }

    /**
     * Takes the token of a retry or hedge.
     *
     * @return false if it must not be sent
     */
    public boolean take() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
