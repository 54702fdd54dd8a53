package org.snipeslip.server.log;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;
import org.snipeslip.core.call.DecisionRecord;
import org.snipeslip.core.id.RequestId;

/** The last decisions, in a ring; a new one replaces the oldest. */
public final class RecentDecisions {
    /** Decisions kept. A power of two, so that the position is a mask of the count. */
    public static final int CAPACITY = 4_096;

    private final AtomicReferenceArray<DecisionRecord> ring = new AtomicReferenceArray<>(CAPACITY);
    private final AtomicLong next = new AtomicLong();

    /**
     * Adds a decision.
     *
     * @param decision the decision
     */
    public void add(DecisionRecord decision) {
        ring.setRelease((int) (next.getAndIncrement() & (CAPACITY - 1)), decision);
    }

    /**
     * Finds the decisions of a call.
     *
     * @param request the call
     * @return its decisions that are still kept, oldest first
     */
    public List<DecisionRecord> of(RequestId request) {
        List<DecisionRecord> found = new ArrayList<>();
        long end = next.get();
        for (long i = Math.max(0, end - CAPACITY); i < end; i++) {
            DecisionRecord decision = ring.getAcquire((int) (i & (CAPACITY - 1)));
            if (decision != null && decision.request().equals(request)) {
                found.add(decision);
            }
        }
        return found;
    }
}
