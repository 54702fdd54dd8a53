package org.snipeslip.core.discovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The objects of one kind that an instance knows. Removed objects are remembered, so that an older
 * answer does not bring them back and other instances can be told. In the grace period after an
 * outage, removed servers are kept, because they may register again.
 */
final class KnownObjects {
    private static final long NEVER = Long.MAX_VALUE;

    /** Removals that are remembered; if there are more, other instances read whole lists. */
    private static final int MAX_REMOVED = 2_048;

    private final DiscoveryKind kind;
    private final OutageDetector outage;
    private final Map<String, DiscoveryObject> objects = new HashMap<>();

    /** Times at which objects that were removed in an outage are dropped. */
    private final Map<String, Long> removalDeadlines = new HashMap<>();

    /** Removals, the one that was learned first at the front. */
    private final Map<String, Removal> removals = new LinkedHashMap<>();

    /** Revision from which on all removals are known. */
    private long historyStartRevision = -1;

    KnownObjects(DiscoveryKind kind, OutageDetector outage) {
        this.kind = kind;
        this.outage = outage;
    }

    Map<String, DiscoveryObject> asMap() {
        return objects;
    }

    /**
     * Returns what another instance has to learn that knows all changes up to a revision.
     *
     * @param sinceRevision the revision; all objects are returned if it is negative
     * @param untilRevision revision up to which this instance knows all changes; what only a backup
     *     watch has reported follows when the main watch has caught up with it
     * @return the changes, or null if they are no longer known
     */
    DiscoveryResponse.Changes changesSince(long sinceRevision, long untilRevision) {
        boolean whole = sinceRevision < 0;
        if (!whole && sinceRevision < historyStartRevision) {
            return null;
        }
        List<DiscoveryObject> changes = new ArrayList<>();
        for (DiscoveryObject object : objects.values()) {
            boolean news = whole || isBetween(object.revision(), sinceRevision, untilRevision);
            if (news && !removalDeadlines.containsKey(object.name())) {
                changes.add(object);
            }
        }
        if (!whole) {
            removals.forEach(
                    (name, removal) -> {
                        if (isBetween(removal.learnedRevision, sinceRevision, untilRevision)) {
                            changes.add(DiscoveryObject.deleted(name, removal.revision));
                        }
                    });
        }
        return new DiscoveryResponse.Changes(changes, untilRevision);
    }

    /**
     * Applies changes that are complete up to a revision. Only the last change of each object
     * counts: an earlier one may already be outdated by what another watch has reported.
     *
     * @return whether the objects changed
     */
    boolean applyAll(Iterable<DiscoveryObject> changes, long learnedRevision, long nowNanos) {
        Map<String, DiscoveryObject> lastChanges = new LinkedHashMap<>();
        changes.forEach(change -> lastChanges.put(change.name(), change));
        boolean changed = false;
        for (DiscoveryObject object : lastChanges.values()) {
            changed |= apply(object, learnedRevision, nowNanos);
        }
        return changed;
    }

    /**
     * Applies a complete list.
     *
     * @return whether the objects changed
     */
    boolean replaceAll(Map<String, DiscoveryObject> listed, long listRevision, long nowNanos) {
        boolean changed = applyAll(listed.values(), listRevision, nowNanos);
        for (DiscoveryObject known : List.copyOf(objects.values())) {
            // Objects that the backup watch reported after the list are kept.
            if (!listed.containsKey(known.name()) && known.revision() <= listRevision) {
                changed |= remove(known.name(), listRevision, listRevision, nowNanos);
            }
        }
        // Objects that came and went since the last watch are not among the removed ones.
        historyStartRevision = listRevision;
        return changed;
    }

    /** Returns when to call {@link #removeExpired} next, or {@link Long#MAX_VALUE} for never. */
    long nextRemovalNanos() {
        return removalDeadlines.values().stream().min(Long::compare).orElse(NEVER);
    }

    /** Drops removed objects whose grace period has ended; returns whether there were any. */
    boolean removeExpired(long nowNanos) {
        boolean changed = false;
        for (Map.Entry<String, Long> removal : List.copyOf(removalDeadlines.entrySet())) {
            if (nowNanos >= removal.getValue()) {
                removalDeadlines.remove(removal.getKey());
                changed |= objects.remove(removal.getKey()) != null;
            }
        }
        return changed;
    }

    private static boolean isBetween(long revision, long sinceRevision, long untilRevision) {
        return revision > sinceRevision && revision <= untilRevision;
    }

    private boolean apply(DiscoveryObject object, long learnedRevision, long nowNanos) {
        DiscoveryObject known = objects.get(object.name());
        if (known != null && known.revision() > object.revision()) {
            return false;
        }
        if (object.deleted()) {
            return remove(object.name(), object.revision(), learnedRevision, nowNanos);
        }
        Removal removal = removals.get(object.name());
        if (removal != null && object.revision() <= removal.revision) {
            return false;
        }
        removalDeadlines.remove(object.name());
        removals.remove(object.name());
        objects.put(object.name(), object);
        return known == null || known.revision() != object.revision();
    }

    private boolean remove(String name, long revision, long learnedRevision, long nowNanos) {
        // Also of an object that is not known here: another instance may know it.
        rememberRemoval(name, new Removal(revision, Math.max(revision, learnedRevision)));
        if (!objects.containsKey(name) || removalDeadlines.containsKey(name)) {
            return false;
        }
        long keepUntilNanos = outage.keepUntilNanos(nowNanos);
        if (kind == DiscoveryKind.SERVERS && keepUntilNanos > nowNanos) {
            removalDeadlines.put(name, keepUntilNanos);
            return false;
        }
        return objects.remove(name) != null;
    }

    private void rememberRemoval(String name, Removal removal) {
        removals.remove(name);
        removals.put(name, removal);
        if (removals.size() > MAX_REMOVED) {
            String oldest = removals.keySet().iterator().next();
            historyStartRevision =
                    Math.max(historyStartRevision, removals.remove(oldest).learnedRevision);
        }
    }

    /**
     * A removal.
     *
     * @param revision revision of the last change; later changes of the object count again
     * @param learnedRevision revision up to which all changes were known when it was learned
     */
    private record Removal(long revision, long learnedRevision) {}
}
