package org.snipeslip.core.discovery;

import org.snipeslip.core.id.RegionId;

/**
 * Settings of an instance that hears of changes from another instance of its region.
 *
 * @param region region of this instance; others are asked only within it
 * @param address address at which this instance is asked, IP:PORT
 * @param pollMillis maximum wait of a poll. A poll that is not answered soon after shows that the
 *     other instance is gone
 * @param maxAgeMillis time since the followed instance heard from the store after which this
 *     instance turns to the store itself
 * @param storeProbeMillis interval of the cheap requests by which it then finds out whether it
 *     reaches the store
 * @param avoidMillis time for which an instance that did not answer is not asked again
 * @param followedBatchMillis {@link WatchSettings#batchMillis} of an instance that others follow
 * @param followedMillis time since the last poll for which an instance counts as followed
 * @param startMillis time after the start within which other instances are looked for before this
 *     one watches the store
 */
public record PeerSettings(
        RegionId region,
        String address,
        long pollMillis,
        long maxAgeMillis,
        long storeProbeMillis,
        long avoidMillis,
        long followedBatchMillis,
        long followedMillis,
        long startMillis) {}
