package org.snipeslip.server.log;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;
import org.snipeslip.core.call.DecisionRecord;
import org.snipeslip.core.id.RequestId;

/** A thread-safe ring buffer of the most recent decisions; a new one replaces the oldest. */
public final class RecentDecisions {
    /** Number of decisions kept; a power of two, so that a bit mask yields the ring position. */
    public static final int CAPACITY = 4_096;

    private final AtomicReferenceArray<DecisionRecord> ring = new AtomicReferenceArray<>(CAPACITY);
    private final AtomicLong addedCount = new AtomicLong();

    /**
     * Adds a decision and, once the ring is full, overwrites the oldest one.
     *
     * @param decision the decision
     */
    public void add(DecisionRecord decision) {
        ring.setRelease((int) (addedCount.getAndIncrement() & (CAPACITY - 1)), decision);
    }

    /**
     * Searches the ring for the decisions of a call.
     *
     * @param request request id of the call
     * @return the decisions that are still kept, oldest first; empty if there are none
     */
    public List<DecisionRecord> forRequest(RequestId request) {
        List<DecisionRecord> found = new ArrayList<>();
        long end = addedCount.get();
        for (long i = Math.max(0, end - CAPACITY); i < end; i++) {
            DecisionRecord decision = ring.getAcquire((int) (i & (CAPACITY - 1)));
            if (decision != null && decision.request().equals(request)) {
                found.add(decision);
            }
        }
        return found;
    }
}
