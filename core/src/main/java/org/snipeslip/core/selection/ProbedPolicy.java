package org.snipeslip.core.selection;

import java.util.random.RandomGenerator;

/**
 * Chooses the candidate with the lowest expected time according to load reports that were requested
 * just before the decision (synchronous probing, as in Prequal). The reports are only a few
 * milliseconds old, so no random choice among nearly equal candidates is needed to keep instances
 * from acting on the same stale report. The scan starts at a random candidate to break ties.
 */
final class ProbedPolicy implements SelectionPolicy {
    @Override
    public int choose(Candidates candidates, long nowNanos, RandomGenerator random) {
        int best = 0;
        int start = random.nextInt(candidates.size());
        for (int i = 0; i < candidates.size(); i++) {
            candidates.setScore(i, candidates.get(i).expectedNanos(nowNanos));
        }
        for (int i = 0; i < candidates.size(); i++) {
            int index = (start + i) % candidates.size();
            best = i == 0 || candidates.score(index) < candidates.score(best) ? index : best;
        }
        return best;
    }
}
