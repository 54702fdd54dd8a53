package org.snipeslip.core.discovery;

/**
 * Settings of the lists and watches with which an instance keeps its copy of the store up to date.
 *
 * @param mainWatchMillis maximum wait of a main watch
 * @param backupWatchMillis maximum wait of a {@link BackupWatch}, which detects a main watch whose
 *     connection has stalled
 * @param heartbeatWatchMillis the same for the kind whose backup watch also shows whether the store
 *     is reachable
 * @param followedHeartbeatMillis the same while other instances follow this one
 * @param outageWatchMillis the same for that kind while the store is unreachable; short, so that
 *     recovery is noticed soon
 * @param maxLagMillis time for which a main watch may lag behind its backup watch before it is
 *     repeated; also the pause after a backup watch that failed or returned changes
 * @param batchMillis pause between a response with changes and the next main watch, so that one
 *     request reads all changes made meanwhile; adds to the time until a change is in force
 * @param minBackoffMillis upper limit of the pause after the first failed request
 * @param maxBackoffMillis upper limit of the pause after any number of failed requests
 * @param outageMillis duration of failures from which they count as an outage of the store
 * @param recoveryGraceMillis time after an outage in which removed servers are kept, because they
 *     may register again
 * @param expiryMillis time after the return of a restored store by which the entries of servers
 *     that are gone have expired
 * @param instancesRefreshMillis interval between two reads of the list of instances
 */
public record WatchSettings(
        long mainWatchMillis,
        long backupWatchMillis,
        long heartbeatWatchMillis,
        long followedHeartbeatMillis,
        long outageWatchMillis,
        long maxLagMillis,
        long batchMillis,
        long minBackoffMillis,
        long maxBackoffMillis,
        long outageMillis,
        long recoveryGraceMillis,
        long expiryMillis,
        long instancesRefreshMillis) {}
