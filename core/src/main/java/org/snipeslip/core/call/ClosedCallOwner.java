package org.snipeslip.core.call;

import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.RecordableAnswer;

/** The owner of calls that have ended, or never existed: events of theirs may still arrive. */
enum ClosedCallOwner implements CallOwner {
    INSTANCE;

    @Override
    public void answered(TryId tryId, int status, LoadReport load, long nowNanos, Outbox outbox) {
        // The call has ended.
    }

    @Override
    public void completed(TryId tryId, RecordableAnswer answer, long nowNanos, Outbox outbox) {
        // The call has ended.
    }

    @Override
    public void failed(
            TryId tryId, TryFailure failure, LoadReport load, long nowNanos, Outbox outbox) {
        // The call has ended.
    }

    @Override
    public boolean maySend(TryId tryId) {
        return false;
    }

    @Override
    public void callerDisconnected(RequestId request, long nowNanos, Outbox outbox) {
        // The call has ended.
    }
}
