package org.snipeslip.core.call;

import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.idempotency.ClaimDecision;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.RecordableAnswer;
import org.snipeslip.core.suspect.SuspectAnswer;

/** The part of the engine that decides about an open call. Implementations are thread-safe. */
sealed interface CallOwner permits ServiceShard, Detour, QuotaGate, ClosedCallOwner {
    /** The head of a response arrived. */
    void answered(TryId tryId, int status, LoadReport load, long nowNanos, Outbox outbox);

    /** A response was relayed completely. */
    void completed(TryId tryId, RecordableAnswer answer, long nowNanos, Outbox outbox);

    /** A try ended without a complete response. */
    void failed(TryId tryId, TryFailure failure, LoadReport load, long nowNanos, Outbox outbox);

    /** Returns whether the request of a try that was decided earlier may be sent now. */
    boolean maySend(TryId tryId);

    /** The caller closed its connection. */
    void callerDisconnected(RequestId request, long nowNanos, Outbox outbox);

    /** The request was read, so that its digest is known. */
    default void requestRead(RequestId request, boolean partlySent, long nowNanos, Outbox outbox) {
        // Only a shard compares requests.
    }

    /** It was decided on the claim of the call. */
    default void claimDecided(ClaimDecision decision, long nowNanos, Outbox outbox) {
        // Only a shard requests claims.
    }

    /** Another instance has told what it knows of the request. */
    default void suspicionAnswered(SuspectAnswer answer, long nowNanos, Outbox outbox) {
        // Only a shard asks.
    }
}
