package org.snipeslip.server.http;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the memory of all request bodies that are kept for a second try. */
final class KeptBodies {
    private final CallLimits limits;
    private final AtomicLong heldBytes = new AtomicLong();

    KeptBodies(CallLimits limits) {
        this.limits = limits;
    }

    /** Reserves room for a body; false if it is too large or the memory is used up. */
    boolean tryReserve(long bytes) {
        if (bytes > limits.keptBodyBytes()) {
            return false;
        }
        if (heldBytes.addAndGet(bytes) <= limits.keptBodiesTotalBytes()) {
            return true;
        }
        heldBytes.addAndGet(-bytes);
        return false;
    }

    void release(long bytes) {
        heldBytes.addAndGet(-bytes);
    }
}
