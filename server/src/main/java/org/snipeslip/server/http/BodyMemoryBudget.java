package org.snipeslip.server.http;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the memory for all request bodies that are buffered for another try. */
final class BodyMemoryBudget {
    private final CallLimits limits;
    private final AtomicLong reservedBytes = new AtomicLong();

    BodyMemoryBudget(CallLimits limits) {
        this.limits = limits;
    }

    /** Reserves memory for a body; returns false if it is too large or the memory is used up. */
    boolean tryReserve(long bytes) {
        if (bytes > limits.maxReplayableBodyBytes()) {
            return false;
        }
        if (reservedBytes.addAndGet(bytes) <= limits.maxReplayableBodiesTotalBytes()) {
            return true;
        }
        reservedBytes.addAndGet(-bytes);
        return false;
    }

    void release(long bytes) {
        reservedBytes.addAndGet(-bytes);
    }
}
