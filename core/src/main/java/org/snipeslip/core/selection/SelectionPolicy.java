package org.snipeslip.core.selection;

import java.util.random.RandomGenerator;

/** Chooses one of the eligible backend servers. Each shard has its own policy object. */
public sealed interface SelectionPolicy
        permits AdaptivePolicy,
                ProbedPolicy,
                RandomPolicy,
                RoundRobinPolicy,
                LeastInFlightPolicy,
                TwoChoicesPolicy {
    /**
     * Chooses a candidate. The adaptive and the probed policy also set the scores of all
     * candidates.
     *
     * @param candidates the eligible backend servers, at least one
     * @param nowNanos the current time in nanoseconds
     * @param random source of random choices
     * @return the index of the chosen candidate
     */
    int choose(Candidates candidates, long nowNanos, RandomGenerator random);

    /**
     * Returns the maximum number of candidates that the policy considers.
     *
     * @return the limit on the eligible candidates of one decision
     */
    default int candidateLimit() {
        return Integer.MAX_VALUE;
    }

    /**
     * Creates a policy.
     *
     * @param name the name of the policy
     * @return a new policy object, which must not be shared between shards
     */
    static SelectionPolicy of(PolicyName name) {
        return switch (name) {
            case ADAPTIVE -> new AdaptivePolicy();
            case PROBED -> new ProbedPolicy();
            case RANDOM -> new RandomPolicy();
            case ROUND_ROBIN -> new RoundRobinPolicy();
            case LEAST_IN_FLIGHT -> new LeastInFlightPolicy();
            case TWO_CHOICES -> new TwoChoicesPolicy();
        };
    }
}
