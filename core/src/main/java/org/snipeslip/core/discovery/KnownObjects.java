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
 *
 * <p>A store that was restored from a copy lists older versions of objects at newer revisions. What
 * was known to be newer stays: the later content of a server, and its removal. A server whose entry
 * outlives the silence after which entries expire is in use again.
 */
final class KnownObjects {
    private static final long NEVER = Long.MAX_VALUE;

    /** Interval of looking whether the store, which an object may return to, is back. */
    private static final long POSTPONED_NANOS = 500_000_000;

    /** Removals that are remembered; if there are more, other instances read whole lists. */
    private static final int MAX_REMOVED = 2_048;

    private final DiscoveryKind kind;
    private final OutageDetector outage;
    private final Map<String, DiscoveryObject> objects = new HashMap<>();

    /** Times at which objects that were removed in an outage are dropped. */
    private final Map<String, Long> removalDeadlines = new HashMap<>();

    /** Removals, the one that was learned first at the front. */
    private final Map<String, Removal> removals = new LinkedHashMap<>();

    /** Entries of removed servers that a restored store lists again. */
    private final Map<String, Withheld> withheld = new HashMap<>();

    private final long expiryNanos;

    /** Revision from which on all removals are known. */
    private StoreRevision historyStartRevision = StoreRevision.NONE;

    KnownObjects(DiscoveryKind kind, OutageDetector outage, long expiryNanos) {
        this.kind = kind;
        this.outage = outage;
        this.expiryNanos = expiryNanos;
    }

    Map<String, DiscoveryObject> asMap() {
        return objects;
    }

    /**
     * Returns what another instance has to learn that knows all changes up to a revision.
     *
     * @param sinceRevision the revision; all objects are returned for {@link StoreRevision#NONE}
     * @param untilRevision revision up to which this instance knows all changes; what only a backup
     *     watch has reported follows when the main watch has caught up with it, unless it may have
     *     replaced a change up to this revision
     * @return the changes, or null if they are no longer known
     */
    DiscoveryResponse.Changes changesSince(
            StoreRevision sinceRevision, StoreRevision untilRevision) {
        boolean whole = !sinceRevision.isKnown();
        if (!whole && historyStartRevision.isAfter(sinceRevision)) {
            return null;
        }
        List<DiscoveryObject> changes = new ArrayList<>();
        for (DiscoveryObject object : objects.values()) {
            boolean news = whole || isNews(object.revision(), sinceRevision, untilRevision);
            if (news && !removalDeadlines.containsKey(object.name())) {
                changes.add(object);
            }
        }
        // Others decide for themselves about the entries that this instance withholds.
        withheld.forEach(
                (name, each) -> {
                    if (whole || isNews(each.object.revision(), sinceRevision, untilRevision)) {
                        changes.add(each.object);
                    }
                });
        if (!whole) {
            removals.forEach(
                    (name, removal) -> {
                        // One that was reported again later still belongs to its own revision.
                        if (isNews(removal.revision, sinceRevision, untilRevision)
                                || isNews(removal.learnedRevision, sinceRevision, untilRevision)) {
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
    boolean applyAll(
            Iterable<DiscoveryObject> changes, StoreRevision learnedRevision, long nowNanos) {
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
    boolean replaceAll(
            Map<String, DiscoveryObject> listed, StoreRevision listRevision, long nowNanos) {
        withheld.keySet().retainAll(listed.keySet());
        boolean changed = applyAll(listed.values(), listRevision, nowNanos);
        for (DiscoveryObject known : List.copyOf(objects.values())) {
            // Objects that the backup watch reported after the list are kept.
            if (!listed.containsKey(known.name()) && !known.revision().isAfter(listRevision)) {
                changed |= removeMissing(known, listRevision, nowNanos);
            }
        }
        // Objects that came and went since the last watch are not among the removed ones.
        historyStartRevision = listRevision;
        return changed;
    }

    /** Returns when to call {@link #applyDue} next, or {@link Long#MAX_VALUE} for never. */
    long dueNanos() {
        return removalDeadlines.values().stream().min(Long::compare).orElse(NEVER);
    }

    /** Drops removed objects whose grace period has ended; returns whether there were any. */
    boolean applyDue(long nowNanos) {
        boolean changed = false;
        for (Map.Entry<String, Long> removal : List.copyOf(removalDeadlines.entrySet())) {
            if (nowNanos < removal.getValue()) {
                continue;
            }
            if (outage.isFailing() && !isProven(removal.getKey())) {
                // It cannot be written again while the store is away.
                removalDeadlines.put(removal.getKey(), nowNanos + POSTPONED_NANOS);
            } else {
                changed |= removeFinally(removal.getKey());
            }
        }
        return changed;
    }

    /**
     * Uses withheld entries that are still there although they would have expired.
     *
     * @param asOfNanos when the store was known to hold what is known here
     * @return whether there were any
     */
    boolean useWithheld(long asOfNanos) {
        boolean changed = false;
        for (Withheld each : List.copyOf(withheld.values())) {
            if (asOfNanos >= each.untilNanos) {
                forgetRemoval(each.object.name());
                objects.put(each.object.name(), each.object);
                changed = true;
            }
        }
        return changed;
    }

    private boolean isProven(String name) {
        Removal removal = removals.get(name);
        return removal == null || removal.last != null;
    }

    private boolean removeFinally(String name) {
        removalDeadlines.remove(name);
        DiscoveryObject known = objects.remove(name);
        if (known == null) {
            return false;
        }
        removals.computeIfPresent(name, (key, removal) -> removal.proven(known.record()));
        return true;
    }

    private static boolean isNews(
            StoreRevision revision, StoreRevision sinceRevision, StoreRevision untilRevision) {
        boolean mayReplace = untilRevision.isAfter(sinceRevision);
        return revision.isAfter(sinceRevision) && (mayReplace || !revision.isAfter(untilRevision));
    }

    private boolean apply(DiscoveryObject object, StoreRevision learnedRevision, long nowNanos) {
        DiscoveryObject known = objects.get(object.name());
        if (known != null && known.revision().isAfter(object.revision())) {
            return false;
        }
        if (object.deleted()) {
            withheld.remove(object.name());
            return removeDeleted(object, learnedRevision, nowNanos);
        }
        Removal removal = removals.get(object.name());
        if (removal != null && !object.revision().isAfter(removal.revision)) {
            return false;
        }
        if (removal != null && removal.isUndoneByRestoration(object)) {
            withhold(object, nowNanos);
            return false;
        }
        forgetRemoval(object.name());
        boolean older = known != null && isFromCopy(known.revision(), object.revision());
        if (older && object.isWrittenBefore(known.record())) {
            objects.put(object.name(), known.at(object.revision()));
            return false;
        }
        objects.put(object.name(), object);
        return known == null || !known.revision().equals(object.revision());
    }

    /** Returns whether a revision is of a later era, so that its object may be from the copy. */
    private static boolean isFromCopy(StoreRevision known, StoreRevision revision) {
        return revision.era() > known.era();
    }

    private void withhold(DiscoveryObject object, long nowNanos) {
        Withheld earlier = withheld.get(object.name());
        boolean sameEra =
                earlier != null && earlier.object.revision().era() == object.revision().era();
        long untilNanos = sameEra ? earlier.untilNanos : nowNanos + expiryNanos;
        withheld.put(object.name(), new Withheld(object, untilNanos));
    }

    private void forgetRemoval(String name) {
        removalDeadlines.remove(name);
        removals.remove(name);
        withheld.remove(name);
    }

    /** Removes an object that a list lacks, which proves nothing if the store was restored. */
    private boolean removeMissing(
            DiscoveryObject known, StoreRevision listRevision, long nowNanos) {
        boolean restored = isFromCopy(known.revision(), listRevision);
        DiscoveryRecord last = restored ? null : known.record();
        rememberRemoval(known.name(), new Removal(listRevision, listRevision, last));
        return removeKnown(known.name(), restored || kind == DiscoveryKind.SERVERS, nowNanos);
    }

    private boolean removeDeleted(
            DiscoveryObject object, StoreRevision learnedRevision, long nowNanos) {
        String name = object.name();
        StoreRevision revision = object.revision();
        DiscoveryObject known = objects.get(name);
        Removal earlier = removals.get(name);
        DiscoveryRecord last = earlier == null ? null : earlier.last;
        if (object.record() != null) {
            last = object.record();
        } else if (known != null) {
            last = known.record();
        }
        // Also of an object that is not known here: another instance may know it.
        rememberRemoval(name, new Removal(revision, revision.max(learnedRevision), last));
        return removeKnown(name, kind == DiscoveryKind.SERVERS, nowNanos);
    }

    private boolean removeKnown(String name, boolean mayReturn, long nowNanos) {
        if (!objects.containsKey(name) || removalDeadlines.containsKey(name)) {
            return false;
        }
        long keepUntilNanos = outage.keepUntilNanos(nowNanos);
        if (mayReturn && keepUntilNanos > nowNanos) {
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
                    historyStartRevision.max(removals.remove(oldest).learnedRevision);
        }
    }

    /**
     * A removal.
     *
     * @param revision revision of the last change; later changes of the object count again
     * @param learnedRevision revision up to which all changes were known when it was learned
     * @param last content before the removal, or null if it was not known or the removal is not
     *     proven
     */
    private record Removal(
            StoreRevision revision, StoreRevision learnedRevision, DiscoveryRecord last) {
        Removal proven(DiscoveryRecord newLast) {
            return new Removal(revision, learnedRevision, newLast);
        }

        /** Returns whether an object was in the copy from which the store was restored. */
        boolean isUndoneByRestoration(DiscoveryObject object) {
            return isFromCopy(revision, object.revision())
                    && object.record() instanceof DiscoveryRecord.Server(DiscoveredServer server)
                    && last instanceof DiscoveryRecord.Server(DiscoveredServer lastServer)
                    && !lastServer.isWrittenBefore(server);
        }
    }

    /**
     * An entry that came back with the store although its removal was known.
     *
     * @param object the entry
     * @param untilNanos when it would have expired if the server were gone
     */
    private record Withheld(DiscoveryObject object, long untilNanos) {}
}
