package org.snipeslip.core.selection;

import java.util.random.RandomGenerator;

/** Chooses one of the eligible backend servers. One instance serves one shard. */
public sealed interface SelectionPolicy
        permits AdaptivePolicy,
                ProbedPolicy,
                RandomPolicy,
                RoundRobinPolicy,
                LeastInFlightPolicy,
                TwoChoicesPolicy {
    /**
     * Chooses a candidate.
     *
     * @param candidates the eligible backend servers, at least one
     * @param nowNanos the time
     * @param random source of random choices
     * @return the position of the chosen one
     */
    int choose(Candidates candidates, long nowNanos, RandomGenerator random);

    /**
     * Returns how many candidates the policy looks at.
     *
     * @return the bound on eligible candidates of one decision
     */
    default int candidateLimit() {
        return Integer.MAX_VALUE;
    }

    /**
     * Creates a policy.
     *
     * @param name its name
     * @return the policy
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
