package org.snipeslip.core.selection;

import java.util.random.RandomGenerator;

/** Baseline: uniform random choice. */
final class RandomPolicy implements SelectionPolicy {
    @Override
    public int choose(Candidates candidates, long nowNanos, RandomGenerator random) {
        return random.nextInt(candidates.size());
    }
}
