package org.snipeslip.core.spread;

import java.util.List;
import org.snipeslip.core.membership.MembershipSettings;
import org.snipeslip.core.peer.PeerAddress;
import org.snipeslip.core.store.StoreSettings;

/**
 * Settings of membership and configuration spread.
 *
 * @param watchMillis longest wait of one watch call
 * @param watchSlackMillis time beyond it after which the watch counts as lost
 * @param pollMillis time between two reads of the head by an instance that does not watch, before
 *     jitter
 * @param retryMillis pause after a failed object API call; the back-off is in {@link StoreSettings}
 * @param fetchMillis wait for a peer or the object API to send wanted parts
 * @param readsInFlight parts read from the object API at once
 * @param watchersPerRegion members of a region that watch the head
 * @param membership settings of failure detection
 * @param store object API budget
 * @param seeds peer addresses pinged at the start
 */
public record ControlSettings(
        long watchMillis,
        long watchSlackMillis,
        long pollMillis,
        long retryMillis,
        long fetchMillis,
        int readsInFlight,
        int watchersPerRegion,
        MembershipSettings membership,
        StoreSettings store,
        List<PeerAddress> seeds) {
    /**
     * Defaults. A watch is short because its loss is noticed only after its wait, and a
     * configuration has to spread within 3 s after the object API returns.
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
     * Returns the same settings with other seeds.
     *
     * @param newSeeds peer addresses
     * @return the settings
     */
    public ControlSettings withSeeds(List<PeerAddress> newSeeds) {
        return new ControlSettings(
                watchMillis,
                watchSlackMillis,
                pollMillis,
                retryMillis,
                fetchMillis,
                readsInFlight,
                watchersPerRegion,
                membership,
                store,
                newSeeds);
    }

    /**
     * Returns the same settings with another object API budget.
     *
     * @param newStore object API budget
     * @return the settings
     */
    public ControlSettings withStore(StoreSettings newStore) {
        return new ControlSettings(
                watchMillis,
                watchSlackMillis,
                pollMillis,
                retryMillis,
                fetchMillis,
                readsInFlight,
                watchersPerRegion,
                membership,
                newStore,
                seeds);
    }
}
