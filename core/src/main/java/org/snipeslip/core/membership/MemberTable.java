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
 * What one instance knows of the others. An update overrides another if its incarnation is higher,
 * or at the same incarnation if its status comes later in {@link MemberStatus}.
 */
final class MemberTable {
    private final int limit;
    private final Map<InstanceId, Entry> entries = new TreeMap<>();
    private final Map<InstanceId, Long> listedLeaving = new HashMap<>();
    private long version;

    MemberTable(int limit) {
        this.limit = limit;
    }

    /** Takes an update about another instance; tells whether it changed the table. */
    boolean apply(MemberUpdate update, long nowNanos) {
        Entry known = entries.get(update.id());
        if (known == null) {
            // A dead member that is not known was forgotten, and must not return by old gossip.
            if (update.status() == MemberStatus.DEAD || !hasRoom()) {
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

    /** Returns the members of a status that the predicate accepts, in order of their ids. */
    List<MemberUpdate> select(Predicate<MemberStatus> status) {
        List<MemberUpdate> selected = new ArrayList<>(entries.size());
        for (Entry entry : entries.values()) {
            if (status.test(entry.update.status())) {
                selected.add(entry.update);
            }
        }
        return selected;
    }

    /** Returns the suspects that had their time to refute. */
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

    /** Gives every suspect the time back in which this instance was paused. */
    void extendSuspicions(long pauseNanos) {
        entries.replaceAll(
                (id, entry) ->
                        entry.update.status() == MemberStatus.SUSPECT
                                ? new Entry(entry.update, entry.sinceNanos + pauseNanos)
                                : entry);
    }

    void forgetDead(long nowNanos, long afterNanos) {
        Iterator<Entry> iterator = entries.values().iterator();
        while (iterator.hasNext()) {
            Entry entry = iterator.next();
            if (entry.update.status() == MemberStatus.DEAD
                    && nowNanos - entry.sinceNanos >= afterNanos) {
                iterator.remove();
                listedLeaving.remove(entry.update.id());
                version++;
            }
        }
    }

    /**
     * Notes whether the platform lists a member as leaving. The note holds for the incarnation at
     * which it was made: a later incarnation is newer evidence than the list, which lags.
     */
    void listed(InstanceId id, boolean isLeaving) {
        Entry entry = entries.get(id);
        if (!isLeaving) {
            if (listedLeaving.remove(id) != null) {
                version++;
            }
        } else if (entry != null
                && listedLeaving.putIfAbsent(id, entry.update.incarnation()) == null) {
            version++;
        }
    }

    /** Returns a member with the leaving note of the platform's list applied. */
    MemberUpdate asSeen(MemberUpdate member) {
        Long incarnation = listedLeaving.get(member.id());
        return incarnation != null
                        && incarnation == member.incarnation()
                        && member.status() == MemberStatus.ALIVE
                ? member.withStatus(MemberStatus.LEAVING)
                : member;
    }

    /** Grows with each change. */
    long version() {
        return version;
    }

    int size() {
        return entries.size();
    }

    private boolean hasRoom() {
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

    /** A member and the time of its last change. */
    private record Entry(MemberUpdate update, long sinceNanos) {}
}
