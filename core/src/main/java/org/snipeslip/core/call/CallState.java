package org.snipeslip.core.call;

import java.util.HashSet;
import java.util.Set;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.routing.HomeRegions;

/** One open call. Guarded by the lock of its {@link ServiceShard}. */
final class CallState {
    final RequestId request;
    final CallHead head;
    final Route route;
    final HomeRegions homeRegions;
    final long deadlineNanos;
    final Set<BackendServerId> tried = new HashSet<>();

    int tries;
    int retriesLeft;
    TryId current;
    BackendServerId currentServer;
    boolean headRelayed;
    boolean claimGranted;

    CallState(
            RequestId request,
            CallHead head,
            Route route,
            HomeRegions homeRegions,
            long deadlineNanos) {
        this.request = request;
        this.head = head;
        this.route = route;
        this.homeRegions = homeRegions;
        this.deadlineNanos = deadlineNanos;
    }

    boolean needsClaim() {
        return !isIdempotent() && head.idempotencyKey() != null;
    }

    boolean isIdempotent() {
        return route.isIdempotent(head.method());
    }
}
