package org.snipeslip.core.discovery;

import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.rollout.RolloutEntry;

/** The copies of all kinds of objects that an instance watches. */
final class WatchCaches {
    private static final List<DiscoveryKind> WATCHED_KINDS =
            List.of(DiscoveryKind.CONFIG, DiscoveryKind.SERVERS, DiscoveryKind.EVACUATIONS);

    private final Map<DiscoveryKind, WatchCache> byKind = new EnumMap<>(DiscoveryKind.class);

    /**
     * Creates empty copies.
     *
     * @param rollouts whether rollouts are watched too
     */
    WatchCaches(
            WatchSettings settings,
            OutageDetector outage,
            SplittableRandom random,
            boolean rollouts) {
        for (DiscoveryKind kind : WATCHED_KINDS) {
            byKind.put(kind, new WatchCache(kind, settings, outage, random.split()));
        }
        if (rollouts) {
            DiscoveryKind kind = DiscoveryKind.ROLLOUTS;
            byKind.put(kind, new WatchCache(kind, settings, outage, random.split()));
        }
    }

    /** Returns the copy of a kind, or null if the kind is not watched. */
    WatchCache get(DiscoveryKind kind) {
        return byKind.get(kind);
    }

    Collection<WatchCache> all() {
        return byKind.values();
    }

    /** Returns whether all lists were read at least once. */
    boolean areComplete() {
        return all().stream().allMatch(WatchCache::isComplete);
    }

    /** Returns up to which revision all changes of each kind are known. */
    Map<DiscoveryKind, StoreRevision> revisions() {
        Map<DiscoveryKind, StoreRevision> revisions = new EnumMap<>(DiscoveryKind.class);
        byKind.forEach((kind, cache) -> revisions.put(kind, cache.revision()));
        return revisions;
    }

    /**
     * Returns what another instance has to learn.
     *
     * @param revisions for each kind, up to which revision it knows all changes
     * @return the changes, or null if they are no longer known
     */
    Map<DiscoveryKind, DiscoveryResponse.Changes> changesSince(
            Map<DiscoveryKind, StoreRevision> revisions) {
        Map<DiscoveryKind, DiscoveryResponse.Changes> changes = new EnumMap<>(DiscoveryKind.class);
        for (Map.Entry<DiscoveryKind, StoreRevision> known : revisions.entrySet()) {
            WatchCache cache = get(known.getKey());
            DiscoveryResponse.Changes news =
                    cache == null ? null : cache.changesSince(known.getValue());
            if (news == null) {
                return null;
            }
            changes.put(known.getKey(), news);
        }
        return changes;
    }

    /** Applies what is due without a response; returns whether objects changed. */
    boolean applyDue(long nowNanos) {
        boolean changed = false;
        for (WatchCache cache : all()) {
            changed |= cache.applyDue(nowNanos);
        }
        return changed;
    }

    long dueNanos() {
        return all().stream().mapToLong(WatchCache::dueNanos).min().orElse(Long.MAX_VALUE);
    }

    /** Returns the orders to move services to new versions; none where they are not followed. */
    Map<ServiceId, RolloutEntry> rollouts() {
        WatchCache cache = get(DiscoveryKind.ROLLOUTS);
        if (cache == null) {
            return Map.of();
        }
        Map<ServiceId, RolloutEntry> rollouts = new HashMap<>();
        for (DiscoveryObject object : cache.objects().values()) {
            if (object.record() instanceof DiscoveryRecord.Rollout(RolloutEntry entry)) {
                rollouts.put(entry.service(), entry);
            }
        }
        return rollouts;
    }
}
