package org.snipeslip.core.selection;

import java.util.random.RandomGenerator;

/**
 * Lowest expected time, chosen at random among near-equal candidates. The random choice prevents
 * herding: instances that see the same reports would otherwise all send to the same server.
 */
final class AdaptivePolicy implements SelectionPolicy {
    /** Bounds the work of a decision; services of up to this many servers are seen whole. */
    private static final int CANDIDATE_LIMIT = 24;

    private static final double NEAR_FACTOR = 1.1;

    @Override
    public int choose(Candidates candidates, long nowNanos, RandomGenerator random) {
        int size = candidates.size();
        double lowest = Double.MAX_VALUE;
        for (int i = 0; i < size; i++) {
            double score = candidates.get(i).scoreNanos(nowNanos);
            candidates.score(i, score);
            lowest = Math.min(lowest, score);
        }
        double bound = lowest * NEAR_FACTOR;
        int near = 0;
        for (int i = 0; i < size; i++) {
            near += candidates.score(i) <= bound ? 1 : 0;
        }
        int nth = near == 1 ? 0 : random.nextInt(near);
        int index = 0;
        while (candidates.score(index) > bound || nth-- > 0) {
            index++;
        }
        return index;
    }

    @Override
    public int candidateLimit() {
        return CANDIDATE_LIMIT;
    }
}
