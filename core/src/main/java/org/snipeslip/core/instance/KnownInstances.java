package org.snipeslip.core.instance;

import java.util.List;
import org.snipeslip.core.call.CallEngine;
import org.snipeslip.core.call.InstanceShare;
import org.snipeslip.core.discovery.DiscoveryEngine;
import org.snipeslip.core.discovery.DiscoveryRecord;
import org.snipeslip.core.quota.Quotas;
import org.snipeslip.core.rollout.RolloutEngine;
import org.snipeslip.core.suspect.SuspectPeer;
import org.snipeslip.core.suspect.SuspectSharing;

/**
 * Hands what {@link DiscoveryEngine} knows of other instances to the engines that share limits with
 * them or send them messages. Its lock is acquired before those of the engines.
 */
public final class KnownInstances {
    private final DiscoveryEngine discovery;
    private final CallEngine calls;
    private final SuspectSharing sharing;
    private final RolloutEngine rollouts;

    /** Null if the deployment has no quotas. */
    private final Quotas quotas;

    private InstanceShare share;

    KnownInstances(
            DiscoveryEngine discovery,
            CallEngine calls,
            SuspectSharing sharing,
            RolloutEngine rollouts,
            Quotas quotas) {
        this.discovery = discovery;
        this.calls = calls;
        this.sharing = sharing;
        this.rollouts = rollouts;
        this.quotas = quotas;
    }

    /**
     * Counts another instance that has told of itself in the limits that all instances share.
     *
     * @param other the other instance
     * @param nowNanos the current time
     * @param outbox receives the actions to execute
     * @return false if it cannot be counted
     */
    public boolean announced(DiscoveryRecord.Instance other, long nowNanos, Outbox outbox) {
        boolean counted = discovery.instanceAnnounced(other);
        update(nowNanos, outbox);
        return counted;
    }

    /**
     * Returns the part of this instance in the limits that all instances share.
     *
     * @return the part
     */
    public InstanceShare share() {
        return discovery.share();
    }

    /** Hands on what is known now. */
    synchronized void update(long nowNanos, Outbox outbox) {
        InstanceShare next = discovery.share();
        if (!next.equals(share)) {
            InstanceShare before = share;
            share = next;
            calls.setInstanceShare(next);
            if (before != null
                    && (next.instances() != before.instances()
                            || next.counted() != before.counted())) {
                outbox.add(new Action.InstanceShareChanged(next.instances(), next.counted()));
            }
        }
        List<SuspectPeer> others = discovery.otherInstances();
        sharing.setPeers(others);
        if (quotas != null) {
            quotas.setMembers(next, others, discovery.quotaStanding(), nowNanos, outbox);
        }
        calls.setPeers(others);
        rollouts.setPeers(others);
    }

    /** Hands on what is known now if the part in shared limits has changed. */
    synchronized void updateIfShareChanged(long nowNanos, Outbox outbox) {
        if (!discovery.share().equals(share)) {
            update(nowNanos, outbox);
        }
    }
}
