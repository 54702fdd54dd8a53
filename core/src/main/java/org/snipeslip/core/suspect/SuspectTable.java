package org.snipeslip.core.suspect;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RequestDigest;

/**
 * The suspected requests that an instance knows of. An entry takes the crash of a server, so that
 * callers cannot fill the table with requests alone. Guarded by its own lock, which is acquired
 * after those of the shards and of {@link SuspectSharing}.
 */
public final class SuspectTable {
    /** At this size, the entry with the lowest level and, among those, the oldest falls out. */
    private static final int MAX_ENTRIES = 1_024;

    /** More crashed servers than this need not be told apart at level 1. */
    private static final int MAX_SERVERS = 4;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * Time for which a verdict holds at first; it doubles with each further crash. A release that
     * mends the crash takes minutes, and each trial may cost a server for some seconds.
     */
    private static final long VERDICT_MILLIS = 300_000;

    /** More sets of home regions than a configuration has; further ones are ignored. */
    private static final int MAX_ALERTS = 256;

    private static final int MAX_DOUBLINGS = 4;

    /** Entries below the level of a verdict are forgotten after this time without news. */
    private static final long MEMORY_NANOS = 600_000 * NANOS_PER_MILLI;

    /** Entries whose suspicion has ended are kept for messages that are still on their way. */
    private static final long ENDED_MEMORY_NANOS = 60_000 * NANOS_PER_MILLI;

    private static final long CLEANUP_NANOS = 1_000 * NANOS_PER_MILLI;

    private final SplittableRandom random;
    private final Map<RequestDigest, Entry> entries = new HashMap<>();

    /** Home regions of suspected requests that this instance may not know, and until when. */
    private final Map<Set<RegionId>, Long> alerts = new HashMap<>();

    private long cleanupDueNanos;

    private volatile boolean empty = true;

    /**
     * Creates an empty table.
     *
     * @param seed seed of the random times after which verdicts end
     */
    public SuspectTable(long seed) {
        random = new SplittableRandom(seed);
    }

    /**
     * Returns whether no request is suspected as far as this instance knows, without acquiring the
     * lock.
     *
     * @return true if no digest needs to be looked up, here or at another instance
     */
    public boolean isEmpty() {
        return empty;
    }

    /**
     * Returns the number of entries.
     *
     * @return requests that are or were suspected
     */
    public synchronized int size() {
        return entries.size();
    }

    /**
     * Returns the suspicion of a request.
     *
     * @param digest identifies the request
     * @return the suspicion, or null if there is none
     */
    public synchronized Suspicion find(RequestDigest digest) {
        Entry entry = entries.get(digest);
        return entry == null ? null : entry.suspicion;
    }

    /**
     * Decides about a request that is to be sent now.
     *
     * @param digest identifies the request
     * @param nowNanos the current time
     * @return the verdict
     */
    public synchronized Verdict verdict(RequestDigest digest, long nowNanos) {
        if (nowNanos - cleanupDueNanos >= 0) {
            cleanUp(nowNanos);
        }
        Entry entry = entries.get(digest);
        if (entry == null) {
            return Verdict.UNSUSPECTED;
        }
        long epoch = entry.suspicion.epoch();
        int level = entry.suspicion.level();
        if (level < Suspicion.ALONE_LEVEL) {
            return new Verdict.Run(epoch, level);
        }
        long leftNanos = entry.refusedUntilNanos - nowNanos;
        return level >= Suspicion.REFUSED_LEVEL && leftNanos > 0
                ? new Verdict.Refuse(Math.ceilDiv(leftNanos, NANOS_PER_MILLI))
                : new Verdict.RunAlone(epoch, level);
    }

    /**
     * Records what another instance, or a try of this one, has shown.
     *
     * @param news the suspicion
     * @param nowNanos the current time
     * @return whether it is later than what was known
     */
    public synchronized boolean merge(Suspicion news, long nowNanos) {
        Entry entry = entries.get(news.digest());
        if (entry == null) {
            if (news.level() == 0) {
                return false;
            }
            makeRoom(nowNanos);
            entry = new Entry();
            entries.put(news.digest(), entry);
        } else if (!news.isAfter(entry.suspicion)) {
            return false;
        } else if (news.epoch() > entry.suspicion.epoch()) {
            entry.servers.clear();
        }
        entry.suspicion = news;
        entry.changedNanos = nowNanos;
        int doublings = news.level() - Suspicion.REFUSED_LEVEL;
        if (doublings >= 0) {
            long millis = VERDICT_MILLIS << Math.min(doublings, MAX_DOUBLINGS);
            // Instances try again at different times, so that the first one can tell the others.
            double spread = 1 + random.nextDouble();
            entry.refusedUntilNanos = nowNanos + (long) (millis * spread) * NANOS_PER_MILLI;
        }
        updateEmpty();
        return true;
    }

    /**
     * Records that a server crashed while it may have been running the request.
     *
     * @param digest identifies the request
     * @param homeRegions home regions of the request, or none
     * @param epoch epoch that was known when the try was sent
     * @param level level after the crash
     * @param nowNanos the current time
     * @return the suspicion now, or null if the request has succeeded since the try was sent
     */
    public synchronized Suspicion crashed(
            RequestDigest digest, Set<RegionId> homeRegions, long epoch, int level, long nowNanos) {
        Suspicion known = find(digest);
        if (known != null && known.epoch() > epoch) {
            return null;
        }
        merge(new Suspicion(digest, epoch, level, homeRegions), nowNanos);
        return find(digest);
    }

    /**
     * Ends a suspicion because a server has run the request to a good end.
     *
     * @param digest identifies the request
     * @param nowNanos the current time
     * @return the ended suspicion, or null if there was none
     */
    public synchronized Suspicion cleared(RequestDigest digest, long nowNanos) {
        Suspicion known = find(digest);
        if (known == null || known.level() == 0) {
            return null;
        }
        merge(new Suspicion(digest, known.epoch() + 1, 0, known.homeRegions()), nowNanos);
        return find(digest);
    }

    /**
     * Records that a request which this instance may not know is suspected.
     *
     * @param homeRegions its home regions
     * @param nowNanos the current time
     */
    public synchronized void alert(Set<RegionId> homeRegions, long nowNanos) {
        if (alerts.size() < MAX_ALERTS || alerts.containsKey(homeRegions)) {
            alerts.put(homeRegions, nowNanos + MEMORY_NANOS);
            updateEmpty();
        }
    }

    /**
     * Returns whether another instance must be asked about requests with these home regions.
     *
     * @param homeRegions the home regions
     * @param nowNanos the current time
     * @return true while one of them may be suspected
     */
    public synchronized boolean isAlerted(Set<RegionId> homeRegions, long nowNanos) {
        Long untilNanos = alerts.get(homeRegions);
        return untilNanos != null && nowNanos < untilNanos;
    }

    /**
     * Returns the home regions of suspected requests that a region may not know.
     *
     * @param region the region
     * @return sets of home regions
     */
    public synchronized List<Set<RegionId>> alertsFor(RegionId region) {
        return entries.values().stream()
                .map(entry -> entry.suspicion)
                .filter(suspicion -> suspicion.level() > 0 && !suspicion.mayBeKnownIn(region))
                .map(Suspicion::homeRegions)
                .distinct()
                .toList();
    }

    /**
     * Counts the servers whose crash was reported for a suspicion.
     *
     * @param reported the reported suspicion, which has been merged
     * @param server the crashed server
     * @return how many different servers were reported in its epoch
     */
    synchronized int addServer(Suspicion reported, String server) {
        Entry entry = entries.get(reported.digest());
        if (entry == null || entry.suspicion.epoch() != reported.epoch()) {
            return 0;
        }
        if (entry.servers.size() < MAX_SERVERS) {
            entry.servers.add(server);
        }
        return entry.servers.size();
    }

    /** Remembers that all instances were told of a suspicion, or that it has ended. */
    synchronized void markTold(Suspicion suspicion) {
        Entry entry = entries.get(suspicion.digest());
        if (entry != null) {
            entry.told = suspicion.level() > 0;
        }
    }

    synchronized boolean isTold(RequestDigest digest) {
        Entry entry = entries.get(digest);
        return entry != null && entry.told;
    }

    /**
     * Returns the suspicions that an instance of a region may be told.
     *
     * @param region the region
     * @return the suspicions that have not ended
     */
    public synchronized List<Suspicion> tellable(RegionId region) {
        return entries.values().stream()
                .map(entry -> entry.suspicion)
                .filter(suspicion -> suspicion.level() > 0 && suspicion.mayBeKnownIn(region))
                .toList();
    }

    private void cleanUp(long nowNanos) {
        cleanupDueNanos = nowNanos + CLEANUP_NANOS;
        entries.values().removeIf(entry -> entry.isOutdated(nowNanos));
        alerts.values().removeIf(untilNanos -> nowNanos >= untilNanos);
        updateEmpty();
    }

    private void updateEmpty() {
        empty =
                alerts.isEmpty()
                        && entries.values().stream().allMatch(e -> e.suspicion.level() == 0);
    }

    private void makeRoom(long nowNanos) {
        cleanUp(nowNanos);
        if (entries.size() >= MAX_ENTRIES) {
            Comparator<Entry> leastUseful = Comparator.comparingInt(e -> e.suspicion.level());
            entries.values().stream()
                    .min(leastUseful.thenComparingLong(e -> e.changedNanos))
                    .ifPresent(entry -> entries.remove(entry.suspicion.digest()));
        }
    }

    /** What is known of one request. */
    private static final class Entry {
        private final Set<String> servers = new HashSet<>(MAX_SERVERS);
        private Suspicion suspicion;
        private long changedNanos;
        private long refusedUntilNanos;
        private boolean told;

        boolean isOutdated(long nowNanos) {
            int level = suspicion.level();
            long memoryNanos = level == 0 ? ENDED_MEMORY_NANOS : MEMORY_NANOS;
            return level < Suspicion.REFUSED_LEVEL && nowNanos - changedNanos > memoryNanos;
        }
    }
}
