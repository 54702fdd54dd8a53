package org.snipeslip.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.peer.MemberStatus;
import org.snipeslip.core.peer.MemberUpdate;

/**
 * The members that one instance knows, itself excluded. An update overrides another if its
 * incarnation is higher, or if the incarnations are equal and its status is declared later in
 * {@link MemberStatus}.
 */
final class MemberTable {
    private final int limit;
    private final Map<InstanceId, Entry> entries = new TreeMap<>();
    private final Map<InstanceId, Long> listedLeavingIncarnations = new HashMap<>();
    private long version;

    MemberTable(int limit) {
        this.limit = limit;
    }

    /** Applies an update about another instance and returns whether it changed the table. */
    boolean apply(MemberUpdate update, long nowNanos) {
        Entry known = entries.get(update.id());
        if (known == null) {
            // A dead member that is not in the table has been forgotten already. Old gossip about
            // it must not add it again.
            if (update.status() == MemberStatus.DEAD || !makeRoom()) {
                return false;
            }
        } else if (!overrides(update, known.update)) {
            return false;
        }
        entries.put(update.id(), new Entry(update, nowNanos));
        version++;
        return true;
    }

    static boolean overrides(MemberUpdate update, MemberUpdate known) {
        if (update.incarnation() != known.incarnation()) {
            return update.incarnation() > known.incarnation();
        }
        return update.status().compareTo(known.status()) > 0;
    }

    MemberUpdate get(InstanceId id) {
        Entry entry = entries.get(id);
        return entry == null ? null : entry.update;
    }

    /** Returns the members whose status the predicate accepts, ordered by id. */
    List<MemberUpdate> select(Predicate<MemberStatus> filter) {
        List<MemberUpdate> selected = new ArrayList<>(entries.size());
        for (Entry entry : entries.values()) {
            if (filter.test(entry.update.status())) {
                selected.add(entry.update);
            }
        }
        return selected;
    }

    /** Returns the members that have been suspected for at least the timeout. */
    List<MemberUpdate> overdueSuspects(long nowNanos, long timeoutNanos) {
        List<MemberUpdate> overdue = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.update.status() == MemberStatus.SUSPECT
                    && nowNanos - entry.sinceNanos >= timeoutNanos) {
                overdue.add(entry.update);
            }
        }
        return overdue;
    }

    /**
     * Extends every suspicion by the time for which this process was paused, because it could not
     * receive a refutation during the pause.
     */
    void extendSuspicions(long pauseNanos) {
        entries.replaceAll(
                (id, entry) ->
                        entry.update.status() == MemberStatus.SUSPECT
                                ? new Entry(entry.update, entry.sinceNanos + pauseNanos)
                                : entry);
    }

    /** Removes the members that have been dead for at least the retention time. */
    void forgetDead(long nowNanos, long retentionNanos) {
        Iterator<Entry> iterator = entries.values().iterator();
        while (iterator.hasNext()) {
            Entry entry = iterator.next();
            if (entry.update.status() == MemberStatus.DEAD
                    && nowNanos - entry.sinceNanos >= retentionNanos) {
                iterator.remove();
                listedLeavingIncarnations.remove(entry.update.id());
                version++;
            }
        }
    }

    /**
     * Records whether the platform's instance list shows a member as leaving. The mark applies only
     * to the incarnation at which it was set: a later incarnation is more recent than the list,
     * which lags behind.
     */
    void setListedLeaving(InstanceId id, boolean isLeaving) {
        Entry entry = entries.get(id);
        if (!isLeaving) {
            if (listedLeavingIncarnations.remove(id) != null) {
                version++;
            }
        } else if (entry != null
                && listedLeavingIncarnations.putIfAbsent(id, entry.update.incarnation()) == null) {
            version++;
        }
    }

    /** Returns a member as LEAVING if it is alive here but the platform lists it as leaving. */
    MemberUpdate withListedStatus(MemberUpdate member) {
        Long incarnation = listedLeavingIncarnations.get(member.id());
        return incarnation != null
                        && incarnation == member.incarnation()
                        && member.status() == MemberStatus.ALIVE
                ? member.withStatus(MemberStatus.LEAVING)
                : member;
    }

    /** Returns a number that grows with each change of the members or of their leaving marks. */
    long version() {
        return version;
    }

    int size() {
        return entries.size();
    }

    /** Returns whether a member can be added, after removing a dead member if the table is full. */
    private boolean makeRoom() {
        if (entries.size() < limit) {
            return true;
        }
        InstanceId dead = null;
        for (Entry entry : entries.values()) {
            if (entry.update.status() == MemberStatus.DEAD) {
                dead = entry.update.id();
                break;
            }
        }
        return dead != null && entries.remove(dead) != null;
    }

    /** A member and the time of its last change; pauses of this process move that time forward. */
    private record Entry(MemberUpdate update, long sinceNanos) {}
}
