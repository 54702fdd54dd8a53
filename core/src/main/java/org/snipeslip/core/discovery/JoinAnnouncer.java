package org.snipeslip.core.discovery;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.warmup.ColdRate;

/**
 * Tells other instances of this one after its start, and decides from when on it has a part in the
 * limits that all instances share. Until another instance has been told, or has read the list
 * again, it divides the limits among fewer instances, and its part leaves no room for one more.
 *
 * <p>Only instances that registered earlier are told: those that registered later have found this
 * one in the list. Not thread-safe.
 */
final class JoinAnnouncer {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NEVER = Long.MAX_VALUE;

    /** Spreads the announcements of instances that start together. */
    private static final int MAX_PENDING = 4;

    private static final long RETRY_NANOS = 300 * NANOS_PER_MILLI;

    /** Time that reading the list may take. */
    private static final long LIST_MARGIN_MILLIS = 5_000;

    private final DiscoveryRecord.Instance self;

    /**
     * An instance that reaches the store has read the list again within this time, also if it was
     * not told.
     */
    private final long listedNanos;

    private final Map<String, Recipient> untold = new LinkedHashMap<>();
    private boolean begun;
    private long begunNanos;
    private int pending;
    private long countedFromNanos = NEVER;
    private boolean counted;

    /**
     * Creates the announcer of an instance that others may not know.
     *
     * @param self the entry of this instance
     * @param listIntervalMillis interval at which each instance reads the list
     */
    JoinAnnouncer(DiscoveryRecord.Instance self, long listIntervalMillis) {
        this.self = self;
        this.listedNanos = (listIntervalMillis + LIST_MARGIN_MILLIS) * NANOS_PER_MILLI;
    }

    boolean hasBegun() {
        return begun;
    }

    /** Returns whether this instance has a part in the limits that all instances share. */
    boolean isCounted() {
        return counted;
    }

    /**
     * Begins to tell others, once this instance is listed.
     *
     * @param earlier the instances that registered before this one
     * @param wasListed whether this instance was listed when the process started. It then waits for
     *     none of them, because an earlier process has told them, and others may be gone for good.
     */
    void begin(Collection<DiscoveryRecord.Instance> earlier, boolean wasListed, long nowNanos) {
        begun = true;
        begunNanos = nowNanos;
        for (DiscoveryRecord.Instance each : earlier) {
            untold.put(each.instance().value(), new Recipient(each.peerAddress(), nowNanos));
        }
        if (wasListed) {
            // What the earlier process has sent may still be in the window.
            countedFromNanos = nowNanos + ColdRate.WINDOW_NANOS;
        }
        update(nowNanos);
    }

    /** Adds the announcements that are due; returns whether {@link #isCounted} has changed. */
    boolean sendDue(long nowNanos, Outbox outbox) {
        boolean changed = update(nowNanos);
        for (Map.Entry<String, Recipient> each : untold.entrySet()) {
            if (pending >= MAX_PENDING) {
                break;
            }
            Recipient recipient = each.getValue();
            if (recipient.isAskable() && nowNanos >= recipient.dueNanos) {
                recipient.pending = true;
                pending++;
                outbox.add(new Action.AnnounceInstance(each.getKey(), recipient.address, self));
            }
        }
        return changed;
    }

    /**
     * Handles the end of an announcement.
     *
     * @param delivered whether the other instance counts this one from now on
     */
    void ended(Action.AnnounceInstance sent, boolean delivered, long nowNanos) {
        pending--;
        Recipient recipient = untold.remove(sent.recipient());
        if (recipient != null && !delivered) {
            // At the end, so that instances that are gone hold up no others.
            untold.put(sent.recipient(), new Recipient(recipient.address, nowNanos + RETRY_NANOS));
        }
    }

    /** Returns when {@link #sendDue} has to be called next, or {@link Long#MAX_VALUE}. */
    long dueNanos() {
        if (!begun) {
            return NEVER;
        }
        long due = counted ? NEVER : countedFromNanos;
        if (!untold.isEmpty()) {
            due = Math.min(due, begunNanos + listedNanos);
        }
        if (pending < MAX_PENDING) {
            for (Recipient recipient : untold.values()) {
                due = recipient.isAskable() ? Math.min(due, recipient.dueNanos) : due;
            }
        }
        return due;
    }

    private boolean update(long nowNanos) {
        if (begun && nowNanos - begunNanos >= listedNanos) {
            untold.clear();
        }
        if (!begun || counted) {
            return false;
        }
        if (untold.isEmpty() && countedFromNanos == NEVER) {
            // Others may have sent calls by their larger parts until now.
            countedFromNanos = nowNanos + ColdRate.WINDOW_NANOS;
        }
        counted = nowNanos >= countedFromNanos;
        return counted;
    }

    /** An instance that has not confirmed an announcement. */
    private static final class Recipient {
        final String address;
        final long dueNanos;
        boolean pending;

        Recipient(String address, long dueNanos) {
            this.address = address;
            this.dueNanos = dueNanos;
        }

        boolean isAskable() {
            return !pending && !address.isEmpty();
        }
    }
}
