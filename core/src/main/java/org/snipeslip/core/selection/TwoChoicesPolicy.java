package org.snipeslip.core.selection;

import java.util.random.RandomGenerator;

/** Baseline: power of two choices by calls of this instance in flight. */
final class TwoChoicesPolicy implements SelectionPolicy {
    @Override
    public int choose(Candidates candidates, long nowNanos, RandomGenerator random) {
        int size = candidates.size();
        int first = random.nextInt(size);
        if (size == 1) {
            return first;
        }
        int second = (first + 1 + random.nextInt(size - 1)) % size;
        boolean keepFirst = candidates.get(first).inFlight() <= candidates.get(second).inFlight();
        return keepFirst ? first : second;
    }
}
