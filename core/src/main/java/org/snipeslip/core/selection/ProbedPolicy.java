package org.snipeslip.core.selection;

import java.util.random.RandomGenerator;

/**
 * Lowest expected time by reports that were asked for just before (synchronous probing, as in
 * Prequal). The reports are some milliseconds old, so instances need no random choice to keep from
 * following the same old report.
 */
final class ProbedPolicy implements SelectionPolicy {
    @Override
    public int choose(Candidates candidates, long nowNanos, RandomGenerator random) {
        int best = 0;
        int first = random.nextInt(candidates.size());
        for (int i = 0; i < candidates.size(); i++) {
            candidates.score(i, candidates.get(i).expectedNanos(nowNanos));
        }
        for (int i = 0; i < candidates.size(); i++) {
            int at = (first + i) % candidates.size();
            best = i == 0 || candidates.score(at) < candidates.score(best) ? at : best;
        }
        return best;
    }
}
