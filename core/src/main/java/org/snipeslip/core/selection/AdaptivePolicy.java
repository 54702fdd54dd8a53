package org.snipeslip.core.selection;

import java.util.random.RandomGenerator;

/**
 * Chooses the candidate with the lowest expected time, at random among nearly equal ones. The
 * random choice prevents herding: instances that have the same load reports would otherwise all
 * send to the same server.
 */
final class AdaptivePolicy implements SelectionPolicy {
    /**
     * Bounds the cost of a decision; in services with at most this many servers, all of them are
     * considered.
     */
    private static final int CANDIDATE_LIMIT = 24;

    /** Scores up to this multiple of the lowest one are treated as equal. */
    private static final double NEAR_FACTOR = 1.1;

    @Override
    public int choose(Candidates candidates, long nowNanos, RandomGenerator random) {
        int size = candidates.size();
        double lowest = Double.MAX_VALUE;
        for (int i = 0; i < size; i++) {
            double score = candidates.get(i).scoreNanos(nowNanos);
            candidates.setScore(i, score);
            lowest = Math.min(lowest, score);
        }
        double bound = lowest * NEAR_FACTOR;
        int nearCount = 0;
        for (int i = 0; i < size; i++) {
            nearCount += candidates.score(i) <= bound ? 1 : 0;
        }
        int toSkip = nearCount == 1 ? 0 : random.nextInt(nearCount);
        int index = 0;
        while (candidates.score(index) > bound || toSkip-- > 0) {
            index++;
        }
        return index;
    }

    @Override
    public int candidateLimit() {
        return CANDIDATE_LIMIT;
    }
}
