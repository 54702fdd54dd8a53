package org.snipeslip.core.call;

import java.util.List;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.RouteId;
import org.snipeslip.core.id.ServiceId;

/**
 * Explains one routing decision.
 *
 * @param request the call
 * @param kind what was decided
 * @param route the route, or null if none matched
 * @param service the service, or null
 * @param tryNumber number of the try, or 0 if none was sent
 * @param chosen the backend server, or null
 * @param refusal the refusal, or null
 * @param candidates the backend servers looked at, the chosen one first, at most 16
 */
public record DecisionRecord(
        RequestId request,
        Kind kind,
        RouteId route,
        ServiceId service,
        int tryNumber,
        BackendServerId chosen,
        Refusal refusal,
        List<Candidate> candidates) {
    /** Copies the list unless it is immutable by construction. */
    public DecisionRecord {
        if (!(candidates instanceof CandidateSnapshot)) {
            candidates = List.copyOf(candidates);
        }
    }

    /** What was decided. */
    public enum Kind {
        /** First try. */
        ROUTED,
        /** Try after a failed one. */
        RETRIED,
        /** Second try beside a slow one. */
        HEDGED,
        /** Waits for capacity. */
        QUEUED,
        /** Answered by the instance. */
        REFUSED
    }

    /** Why a backend server was not eligible. */
    public enum Exclusion {
        /** Eligible. */
        NONE,
        /** Its failure domain is out of service. */
        FAILURE_DOMAIN_OUT,
        /** It drains. */
        DRAINING,
        /** It stands outside the home regions. */
        OUTSIDE_HOME_REGIONS,
        /** Its concurrency limit is reached, it is being warmed up, or it reports a queue. */
        AT_LIMIT,
        /** The call was already tried there. */
        ALREADY_TRIED
    }

    /**
     * A backend server that was looked at.
     *
     * @param backendServer the backend server
     * @param exclusion why it was not eligible
     * @param scoreNanos expected time to an answer, lower is better, or -1 if not computed
     * @param inFlight calls of this instance in flight to it
     * @param limit its concurrency limit at this instance
     * @param reportedInFlight load it reported, or -1
     * @param reportAgeNanos age of that report, or -1
     */
    public record Candidate(
            BackendServerId backendServer,
            Exclusion exclusion,
            long scoreNanos,
            int inFlight,
            int limit,
            int reportedInFlight,
            long reportAgeNanos) {}
}
