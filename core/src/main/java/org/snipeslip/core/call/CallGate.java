package org.snipeslip.core.call;

import java.util.Optional;
import org.snipeslip.core.access.KeyDecision;
import org.snipeslip.core.access.ProofSource;
import org.snipeslip.core.config.Organisation;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.routing.HomeRegions;

/** Decides whether the configuration allows an arriving call, and refuses it otherwise. */
final class CallGate {
    /** Usual time from the start of an instance until it has read its configuration. */
    private static final long STARTUP_MILLIS = 300;

    /**
     * Callers return at different times, when an instance that is in touch has a new proof. One
     * that is cut off keeps refusing.
     */
    private static final long MIN_PROOF_WAIT_MILLIS = 700;

    private static final int PROOF_WAIT_SPREAD_MILLIS = 600;

    /** Spreads the hash codes of request ids that differ in their last characters only. */
    private static final int HASH_FACTOR = 0x9E3779B1;

    private final CallSettings settings;
    private final RegionId region;
    private final ProofSource proof;

    CallGate(CallSettings settings, RegionId region, ProofSource proof) {
        this.proof = proof;
        this.settings = settings;
        this.region = region;
    }

    /**
     * Checks a call.
     *
     * @return what was matched, or null if the call was refused
     */
    Admission check(Event.CallArrived arrived, ConfigView view, long nowNanos, Outbox outbox) {
        CallHead head = arrived.head();
        Optional<Route> matched = view.routes().match(head.host(), head.path(), head.method());
        if (matched.isEmpty()) {
            boolean ready = view.config().generation().number() > 0;
            RefusalReason reason = ready ? RefusalReason.NO_ROUTE : RefusalReason.NOT_READY;
            return refuse(arrived, null, reason, ready ? 0 : STARTUP_MILLIS, outbox);
        }
        Route route = matched.get();
        // Checked before the organisation is looked up: the refusal of an unknown organisation
        // writes a decision record, and no record of the call may be kept outside its home regions.
        HomeRegions routeRegions = HomeRegions.of(route, null);
        if (!acceptsCallFor(routeRegions)) {
            EarlyRefusal.outsideHomeRegions(arrived.request(), routeRegions.regions(), outbox);
            return null;
        }
        Organisation organisation = null;
        if (view.access() != null) {
            switch (decide(head, view, route, nowNanos)) {
                case KeyDecision.Allowed allowed -> organisation = allowed.organisation();
                case KeyDecision.UnknownKey unknown -> {
                    return refuse(arrived, route, RefusalReason.UNKNOWN_KEY, 0, outbox);
                }
                case KeyDecision.NotFresh old -> {
                    long waitMillis = proofWaitMillis(arrived);
                    return refuse(arrived, route, RefusalReason.KEY_NOT_FRESH, waitMillis, outbox);
                }
            }
        } else if (head.organisation() != null) {
            organisation = view.config().organisations().get(head.organisation());
            if (organisation == null) {
                return refuse(arrived, route, RefusalReason.UNKNOWN_ORGANISATION, 0, outbox);
            }
        }
        HomeRegions homeRegions = HomeRegions.of(route, organisation);
        if (!acceptsCallFor(homeRegions)) {
            EarlyRefusal.outsideHomeRegions(arrived.request(), homeRegions.regions(), outbox);
            return null;
        }
        if (head.depth() > settings.maxDepth()) {
            return refuse(arrived, route, RefusalReason.TOO_DEEP, 0, outbox);
        }
        return new Admission(route, organisation, homeRegions);
    }

    private KeyDecision decide(CallHead head, ConfigView view, Route route, long nowNanos) {
        Handover handover = head.handover();
        return handover == null
                ? view.access().decide(route, head.key(), proof, nowNanos)
                : view.access().decidePassed(route, handover.organisation(), proof, nowNanos);
    }

    private static long proofWaitMillis(Event.CallArrived arrived) {
        int hash = arrived.request().value().hashCode() * HASH_FACTOR;
        return MIN_PROOF_WAIT_MILLIS + Math.floorMod(hash, PROOF_WAIT_SPREAD_MILLIS);
    }

    private boolean acceptsCallFor(HomeRegions homeRegions) {
        return settings.relaysToHomeRegions() || homeRegions.allows(region);
    }

    private static Admission refuse(
            Event.CallArrived arrived,
            Route route,
            RefusalReason reason,
            long retryAfterMillis,
            Outbox outbox) {
        Refusal refusal = Refusal.notRun(reason, retryAfterMillis);
        EarlyRefusal.refuse(arrived.request(), route, refusal, outbox);
        return null;
    }

    /**
     * What the configuration says about a call that it allows.
     *
     * @param organisation organisation of the caller, or null if there is none
     */
    record Admission(Route route, Organisation organisation, HomeRegions homeRegions) {}
}
