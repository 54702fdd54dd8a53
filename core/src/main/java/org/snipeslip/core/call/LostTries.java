package org.snipeslip.core.call;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RequestDigest;
import org.snipeslip.core.id.RequestId;

/**
 * The tries of one call whose connections were lost. Outlives the call, until the servers have been
 * checked. Guarded by the shard's lock.
 */
final class LostTries {
    final RequestId request;
    final RequestDigest digest;
    final Set<RegionId> homeRegions;
    private final List<Lost> lost = new ArrayList<>(2);

    LostTries(RequestId request, RequestDigest digest, Set<RegionId> homeRegions) {
        this.request = request;
        this.digest = digest;
        this.homeRegions = homeRegions;
    }

    Lost add(OpenTry openTry, long nowNanos) {
        Lost added = new Lost(this, openTry, nowNanos);
        lost.add(added);
        return added;
    }

    /**
     * Returns the length of the longest chain of crashes, in which each try was sent after the
     * crash before it.
     *
     * @param epoch tries that were sent in an earlier epoch do not count
     */
    int level(long epoch) {
        int longest = 0;
        for (int i = 0; i < lost.size(); i++) {
            Lost last = lost.get(i);
            last.level = 0;
            if (!last.serverGone || last.openTry.suspicionEpoch != epoch) {
                continue;
            }
            int before = last.openTry.suspicionLevel;
            for (Lost earlier : lost.subList(0, i)) {
                if (earlier.lostNanos <= last.openTry.sentAtNanos) {
                    before = Math.max(before, earlier.level);
                }
            }
            last.level = before + 1;
            longest = Math.max(longest, last.level);
        }
        return longest;
    }

    /** One lost try. */
    static final class Lost {
        final LostTries call;
        final OpenTry openTry;
        private final long lostNanos;
        private boolean serverGone;
        private int level;

        private Lost(LostTries call, OpenTry openTry, long lostNanos) {
            this.call = call;
            this.openTry = openTry;
            this.lostNanos = lostNanos;
        }

        void recordServerGone() {
            serverGone = true;
        }
    }
}
