package org.snipeslip.core.call;

import java.util.List;
import java.util.Set;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Outbox;

/** Refuses calls that no shard has taken over yet. */
final class EarlyRefusal {
    /** Usual time from the start of an instance until it has read its configuration. */
    private static final long STARTUP_MILLIS = 300;

    private EarlyRefusal() {}

    /**
     * Refuses a call without a matching route.
     *
     * @param ready whether the instance has read its configuration
     */
    static void withoutRoute(RequestId request, boolean ready, Outbox outbox) {
        RefusalReason reason = ready ? RefusalReason.NO_ROUTE : RefusalReason.NOT_READY;
        refuse(request, null, Refusal.notRun(reason, ready ? 0 : STARTUP_MILLIS), outbox);
    }

    /**
     * Refuses a call of another instance.
     *
     * @param cutOff whether this instance reaches no backend server; otherwise it is not ready
     */
    static void ofPassedCall(RequestId request, boolean cutOff, Outbox outbox) {
        RefusalReason reason = cutOff ? RefusalReason.CUT_OFF : RefusalReason.NOT_READY;
        refuse(request, null, Refusal.notRun(reason), outbox);
    }

    /**
     * Refuses a call without writing a decision record: nothing of the call may be kept outside its
     * home regions.
     */
    static void outsideHomeRegions(RequestId request, Set<RegionId> regions, Outbox outbox) {
        Refusal refusal =
                new Refusal(RefusalReason.OUTSIDE_HOME_REGIONS, Outcome.NOT_RUN, false, 0, regions);
        outbox.add(new Action.RefuseCaller(request, refusal));
    }

    /**
     * Refuses a call and records the decision.
     *
     * @param route the route, or null if none matched
     */
    static void refuse(RequestId request, Route route, Refusal refusal, Outbox outbox) {
        outbox.add(new Action.RefuseCaller(request, refusal));
        outbox.add(
                new Action.RecordDecision(
                        new DecisionRecord(
                                request,
                                DecisionRecord.Kind.REFUSED,
                                route == null ? null : route.id(),
                                route == null ? null : route.service(),
                                0,
                                null,
                                refusal,
                                List.of())));
    }
}
