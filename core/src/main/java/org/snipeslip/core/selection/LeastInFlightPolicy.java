package org.snipeslip.core.selection;

import java.util.random.RandomGenerator;

/** Baseline: fewest calls of this instance in flight; ties are broken at random. */
final class LeastInFlightPolicy implements SelectionPolicy {
    @Override
    public int choose(Candidates candidates, long nowNanos, RandomGenerator random) {
        int chosen = 0;
        int fewest = Integer.MAX_VALUE;
        int ties = 0;
        for (int i = 0; i < candidates.size(); i++) {
            int inFlight = candidates.get(i).inFlight();
            if (inFlight < fewest) {
                fewest = inFlight;
                ties = 0;
            }
            if (inFlight == fewest && random.nextInt(++ties) == 0) {
                chosen = i;
            }
        }
        return chosen;
    }
}
