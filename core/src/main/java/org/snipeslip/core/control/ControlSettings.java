package org.snipeslip.core.control;

import java.util.List;
import org.snipeslip.core.membership.MembershipSettings;
import org.snipeslip.core.peer.PeerAddress;
import org.snipeslip.core.store.StoreSettings;

/**
 * Settings of membership and configuration distribution.
 *
 * @param watchWaitMillis longest time for which the object API holds a watch call open
 * @param watchSlackMillis additional time without an answer after which a call for the head is
 *     treated as lost; for a read of the head it is the whole time
 * @param pollIntervalMillis time between two reads of the head by an instance that is not a
 *     watcher, before jitter
 * @param retryDelayMillis delay after a failed object API call, before jitter; the back-off is in
 *     {@link StoreSettings}
 * @param fetchTimeoutMillis time to wait for requested parts from a peer or from the object API
 *     before another source is tried
 * @param readsInFlight maximum number of parts that are read from the object API concurrently
 * @param watchersPerRegion number of members of a region that watch the head
 * @param membership settings of failure detection
 * @param store limits on the calls of the object API
 * @param seeds peer addresses that are pinged from the start
 */
public record ControlSettings(
        long watchWaitMillis,
        long watchSlackMillis,
        long pollIntervalMillis,
        long retryDelayMillis,
        long fetchTimeoutMillis,
        int readsInFlight,
        int watchersPerRegion,
        MembershipSettings membership,
        StoreSettings store,
        List<PeerAddress> seeds) {
    /**
     * Defaults. The watch wait is short because the loss of a watch is detected only after it, and
     * a configuration has to reach every instance within 3 s after the object API is available
     * again.
     */
    public static final ControlSettings DEFAULT =
            new ControlSettings(
                    1_500,
                    700,
                    30_000,
                    100,
                    250,
                    8,
                    2,
                    MembershipSettings.DEFAULT,
                    StoreSettings.DEFAULT,
                    List.of());

    /** Copies the list. */
    public ControlSettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Returns a copy with other seeds.
     *
     * @param newSeeds peer addresses to ping from the start
     * @return the copy
     */
    public ControlSettings withSeeds(List<PeerAddress> newSeeds) {
        return new ControlSettings(
                watchWaitMillis,
                watchSlackMillis,
                pollIntervalMillis,
                retryDelayMillis,
                fetchTimeoutMillis,
                readsInFlight,
                watchersPerRegion,
                membership,
                store,
                newSeeds);
    }

    /**
     * Returns a copy with other limits on the calls of the object API.
     *
     * @param newStore the new limits
     * @return the copy
     */
    public ControlSettings withStore(StoreSettings newStore) {
        return new ControlSettings(
                watchWaitMillis,
                watchSlackMillis,
                pollIntervalMillis,
                retryDelayMillis,
                fetchTimeoutMillis,
                readsInFlight,
                watchersPerRegion,
                membership,
                newStore,
                seeds);
    }
}
