package org.snipeslip.core.call;

import org.snipeslip.core.call.DecisionRecord.Exclusion;
import org.snipeslip.core.selection.PolicyName;

/** Decides which servers of a service may receive a call now. Guarded by the shard's lock. */
final class ServerEligibility {
    private final CallVersions versions;
    private final boolean adaptive;
    private final boolean probesEachCall;
    private boolean recentlyReportedOnly;

    ServerEligibility(CallVersions versions, PolicyName policy) {
        this.versions = versions;
        this.adaptive = policy.isAdaptive();
        this.probesEachCall = policy == PolicyName.PROBED;
    }

    /** Excludes servers that {@link #mayExceedColdLimit} names, or includes them again. */
    void setRecentlyReportedOnly(boolean only) {
        recentlyReportedOnly = only;
    }

    /**
     * Returns whether a call to a server would exceed this instance's share if the server has
     * become cold since its last report. Without probes before each call no news can be awaited.
     */
    boolean mayExceedColdLimit(ServerState state, long nowNanos) {
        return probesEachCall && state.mayExceedColdLimit(nowNanos);
    }

    /** Returns why a server must not receive a call, or {@link Exclusion#NONE}. */
    Exclusion exclusion(ServerState state, CallState call, long nowNanos) {
        if (!call.homeRegions.allows(state.region)) {
            return Exclusion.OUTSIDE_HOME_REGIONS;
        }
        if (!state.failureDomainInService) {
            return Exclusion.FAILURE_DOMAIN_OUT;
        }
        if (state.isDraining()) {
            return Exclusion.DRAINING;
        }
        if (!versions.allows(call, state)) {
            return Exclusion.OTHER_VERSION;
        }
        if (call.wasTriedAt(state)) {
            return Exclusion.ALREADY_TRIED;
        }
        if (state.runsSuspect) {
            return Exclusion.RUNS_SUSPECT;
        }
        if (!state.allowance.allows(nowNanos)) {
            return Exclusion.RATE_LIMITED;
        }
        if (recentlyReportedOnly && state.mayExceedColdLimit(nowNanos)) {
            return Exclusion.NO_RECENT_REPORT;
        }
        boolean hasRoom =
                probesEachCall
                        ? state.hasRoomWhenProbed(nowNanos)
                        : state.hasRoom(adaptive, call.route.callClass(), nowNanos);
        return hasRoom ? Exclusion.NONE : Exclusion.AT_LIMIT;
    }
}
