package org.snipeslip.core.retry;

/**
 * Token bucket of the retries and hedges of one service: each call adds a fraction of a token, each
 * further try takes one. It bounds the extra load while backend servers fail.
 */
public final class RetryBudget {
    /** Tokens at the start and at most; lets a service with few calls retry at all. */
    public static final int BURST = 10;

    private final double perCall;
    private double burst = BURST;
    private double tokens;

    /**
     * Creates a full budget.
     *
     * @param percent further tries per hundred calls
     */
    public RetryBudget(int percent) {
        this(percent, BURST);
    }

    /**
     * Creates a budget. One that starts empty bounds the sum over processes that restart.
     *
     * @param percent further tries per hundred calls
     * @param initialTokens tokens at the start
     */
    public RetryBudget(int percent, double initialTokens) {
        this.perCall = percent / 100.0;
        this.tokens = initialTokens;
    }

    /**
     * Bounds the tokens that may be saved. In any span, the tokens taken are at most those earned
     * in it and this bound, so the bounds of all instances add up to the slack of their sum.
     *
     * @param newBurst tokens at most
     */
    public void setCapacity(double newBurst) {
        burst = newBurst;
        tokens = Math.min(tokens, burst);
    }

    /** Counts a call. */
    public void earn() {
        tokens = Math.min(burst, tokens + perCall);
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
