package org.snipeslip.core.selection;

import java.util.random.RandomGenerator;

/** Baseline: round robin over the eligible backend servers. */
final class RoundRobinPolicy implements SelectionPolicy {
    private int next;

    @Override
    public int choose(Candidates candidates, long nowNanos, RandomGenerator random) {
        int index = next % candidates.size();
        next = index + 1;
        return index;
    }
}
