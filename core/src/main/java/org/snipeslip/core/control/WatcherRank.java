package org.snipeslip.core.control;

import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.membership.MemberView;
import org.snipeslip.core.peer.MemberStatus;
import org.snipeslip.core.peer.MemberUpdate;

/**
 * Rank of an instance by rendezvous hashing (Thaler and Ravishankar 1998) among the live members of
 * its region. Members with equal views compute equal ranks without exchanging messages.
 */
final class WatcherRank {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private WatcherRank() {}

    /**
     * Returns the rank of an instance, 0 for the first, or {@code Integer.MAX_VALUE} if the
     * instance is not alive in the view.
     */
    static int rankOf(MemberView view, InstanceId id) {
        MemberUpdate self = null;
        for (MemberUpdate member : view.members()) {
            if (member.id().equals(id) && member.status() == MemberStatus.ALIVE) {
                self = member;
            }
        }
        if (self == null) {
            return Integer.MAX_VALUE;
        }
        int rank = 0;
        long weight = weight(self.region(), id);
        for (MemberUpdate member : view.members()) {
            if (member.status() == MemberStatus.ALIVE && member.region().equals(self.region())) {
                long otherWeight = weight(member.region(), member.id());
                int order = Long.compareUnsigned(otherWeight, weight);
                if (order > 0 || order == 0 && member.id().compareTo(id) < 0) {
                    rank++;
                }
            }
        }
        return rank;
    }

    static long weight(RegionId region, InstanceId id) {
        long hash = FNV_OFFSET;
        String text = region.value() + "/" + id.value();
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        // FNV-1a alone gives similar weights to ids that differ only in their last digit. The
        // finaliser of MurmurHash3 separates them.
        hash = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        hash = (hash ^ hash >>> 33) * 0xc4ceb9fe1a85ec53L;
        return hash ^ hash >>> 33;
    }
}
