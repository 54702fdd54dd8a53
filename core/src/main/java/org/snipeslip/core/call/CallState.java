package org.snipeslip.core.call;

import java.util.ArrayList;
import java.util.List;
import org.snipeslip.core.admission.Waiting;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.retry.RetryRule;
import org.snipeslip.core.routing.HomeRegions;

/** One open call. Guarded by the lock of its {@link ServiceShard}. */
final class CallState {
    final RequestId request;
    final CallHead head;
    final Route route;
    final HomeRegions homeRegions;
    final int weight;
    final long arrivedNanos;
    final long deadlineNanos;
    final boolean idempotent;

    /** All tries, ended ones included, so that no server is tried twice. */
    final List<OpenTry> tries = new ArrayList<>(2);

    /** The try whose head was relayed, or null. */
    OpenTry winner;

    /** The entry in the queue, or null. */
    Waiting<CallState> waiting;

    /** Why the last try failed, or null. */
    TryFailure lastFailure;

    int retriesLeft;
    boolean mayHaveStarted;
    boolean bytesSent;
    boolean awaitsClaim;
    boolean claimGranted;
    boolean claimEnded;
    boolean callerGone;
    boolean ended;

    CallState(
            RequestId request,
            CallHead head,
            Route route,
            HomeRegions homeRegions,
            int weight,
            long arrivedNanos,
            long deadlineNanos) {
        this.request = request;
        this.head = head;
        this.route = route;
        this.homeRegions = homeRegions;
        this.weight = weight;
        this.arrivedNanos = arrivedNanos;
        this.deadlineNanos = deadlineNanos;
        this.idempotent = route.isIdempotent(head.method());
    }

    boolean needsClaim() {
        return !idempotent && head.idempotencyKey() != null;
    }

    boolean mayBeHedged(long nowNanos) {
        return tries.size() == 1
                && RetryRule.mayHedge(
                        idempotent, head.bodyReplayable(), retriesLeft, deadlineNanos - nowNanos);
    }

    boolean isAnsweredOrEnded() {
        return ended || winner != null;
    }

    OpenTry openTry(TryId id) {
        for (OpenTry each : tries) {
            if (each.open && each.id.equals(id)) {
                return each;
            }
        }
        return null;
    }

    int openTries() {
        int open = 0;
        for (OpenTry each : tries) {
            open += each.open ? 1 : 0;
        }
        return open;
    }

    /** Compares names, because a server that was removed and added again has a new state. */
    boolean wasTriedAt(ServerState state) {
        for (int i = 0; i < tries.size(); i++) {
            if (tries.get(i).serverId.equals(state.server.id())) {
                return true;
            }
        }
        return false;
    }
}
