package org.snipeslip.core.discovery;

/**
 * Settings of following the store.
 *
 * @param watchMillis longest wait of a watch
 * @param guardMillis longest wait of the cheap watch beside it, which notices a watch whose
 *     connection went silent
 * @param heartbeatMillis the same for the kind whose cheap watch also shows that the store is
 *     reachable
 * @param returnMillis the same while the store is out of reach, so that its return shows soon
 * @param suspectMillis time that a watch may lag behind the cheap one before it is made again
 * @param batchMillis pause after changes before the next watch; changes that come meanwhile are
 *     read by one call, and it is part of the time that a change takes to be in force
 * @param minPauseMillis first pause after a failed call
 * @param maxPauseMillis longest pause after failed calls
 * @param outageMillis calls that fail for this long count as an outage of the store
 * @param returnGraceMillis after an outage, time in which servers that vanished may come back
 * @param instancesMillis time between two reads of the list of instances
 */
public record FollowSettings(
        long watchMillis,
        long guardMillis,
        long heartbeatMillis,
        long returnMillis,
        long suspectMillis,
        long batchMillis,
        long minPauseMillis,
        long maxPauseMillis,
        long outageMillis,
        long returnGraceMillis,
        long instancesMillis) {}
