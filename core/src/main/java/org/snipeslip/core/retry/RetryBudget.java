package org.snipeslip.core.retry;

/**
 * Token bucket of the retries and hedges of one service: each call adds a fraction of a token, each
 * retry or hedge uses one. It bounds the extra load while backend servers fail.
 */
public final class RetryBudget {
    /**
     * Default capacity and initial tokens; without them a service with few calls could not retry.
     */
    public static final int BURST = 10;

    private final double tokensPerCall;
    private double capacity = BURST;
    private double tokens;

    /**
     * Creates a full budget.
     *
     * @param percent retries and hedges per hundred calls
     */
    public RetryBudget(int percent) {
        this(percent, BURST);
    }

    /**
     * Creates a budget. With no initial tokens, restarts of processes add nothing to the sum over
     * all instances.
     *
     * @param percent retries and hedges per hundred calls
     * @param initialTokens tokens at the start
     */
    public RetryBudget(int percent, double initialTokens) {
        this.tokensPerCall = percent / 100.0;
        this.tokens = initialTokens;
    }

    /**
     * Sets the capacity and drops excess tokens. In any interval, the tokens used are at most those
     * earned in it plus the capacity, so the capacities of all instances add up to the slack of the
     * sum.
     *
     * @param newCapacity the capacity in tokens
     */
    public void setCapacity(double newCapacity) {
        capacity = newCapacity;
        tokens = Math.min(tokens, capacity);
    }

    /** Adds the fraction of a token that a call earns. */
    public void earn() {
        tokens = Math.min(capacity, tokens + tokensPerCall);
    }

    /**
     * Uses one token for a retry or hedge.
     *
     * @return false if there is no token and the retry or hedge must not be sent
     */
    public boolean take() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
