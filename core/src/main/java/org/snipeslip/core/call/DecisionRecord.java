package org.snipeslip.core.call;

import java.util.List;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.RequestDigest;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.RouteId;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.id.TryId;

/**
 * One decision about a call, for the decision log.
 *
 * @param request the call
 * @param kind type of the decision
 * @param route the route, or null if none matched
 * @param service the service, or null if no route matched
 * @param tryNumber number of the last try sent, from 1, or 0 if none was sent
 * @param chosen the selected backend server, or null if none was selected
 * @param refusal the refusal, or null if the call was not refused
 * @param candidates the backend servers considered, the chosen one first, at most 16
 * @param loss how a try ended without a response, or null
 * @param passedTo address of the instance that the call was passed to, or null
 */
public record DecisionRecord(
        RequestId request,
        Kind kind,
        RouteId route,
        ServiceId service,
        int tryNumber,
        BackendServerId chosen,
        Refusal refusal,
        List<Candidate> candidates,
        Loss loss,
        String passedTo) {
    /** Copies the list, except a {@link CandidateSnapshot}, which is no longer changed. */
    public DecisionRecord {
        if (!(candidates instanceof CandidateSnapshot)) {
            candidates = List.copyOf(candidates);
        }
    }

    /** Creates a record of a decision that is not about a lost try. */
    public DecisionRecord(
            RequestId request,
            Kind kind,
            RouteId route,
            ServiceId service,
            int tryNumber,
            BackendServerId chosen,
            Refusal refusal,
            List<Candidate> candidates) {
        this(request, kind, route, service, tryNumber, chosen, refusal, candidates, null, null);
    }

    /** Creates a record of a decision about a call that was passed to another instance. */
    static DecisionRecord ofPassedCall(
            CallState call, Kind kind, TryId passed, String passedTo, Refusal refusal) {
        return new DecisionRecord(
                call.request,
                kind,
                call.route.id(),
                call.route.service(),
                passed.number(),
                null,
                refusal,
                List.of(),
                null,
                passedTo);
    }

    /** Type of a decision. */
    public enum Kind {
        /** The first try was sent. */
        ROUTED,
        /** A further try was sent after a failed one. */
        RETRIED,
        /** A concurrent try was sent because the first one is slow. */
        HEDGED,
        /** The call was queued until a backend server has capacity. */
        QUEUED,
        /** The call was passed to another instance, because no server is reached from here. */
        PASSED_ON,
        /** The connection of a try was lost after the request had been sent. */
        LOST,
        /** The instance refused the call. */
        REFUSED
    }

    /** Reason why a backend server was not eligible. */
    public enum Exclusion {
        /** The server was eligible. */
        NONE,
        /** Its failure domain is out of service. */
        FAILURE_DOMAIN_OUT,
        /** The server is draining. */
        DRAINING,
        /** The server is outside the home regions of the call. */
        OUTSIDE_HOME_REGIONS,
        /** Its concurrency or warm-up limit is reached, or it reports a queue. */
        AT_LIMIT,
        /** An earlier try of the call was sent to this server. */
        ALREADY_TRIED,
        /** It runs a request that may crash it. */
        RUNS_SUSPECT,
        /** The server names a rate limit, and this instance has used up its share of it. */
        RATE_LIMITED,
        /** A rollout keeps the call away from the version of the server. */
        OTHER_VERSION,
        /** It may be cold by now, and the share of this instance is used up. */
        NO_RECENT_REPORT
    }

    /**
     * How a try ended whose request may have run.
     *
     * @param failure kind of the failure
     * @param afterNanos time from sending the request
     * @param digest digest of the request, or null if it is not known or may not be kept here
     */
    public record Loss(TryFailure failure, long afterNanos, RequestDigest digest) {}

    /**
     * A backend server that was considered.
     *
     * @param backendServer the backend server
     * @param exclusion why it was not eligible, or {@link Exclusion#NONE}
     * @param scoreNanos expected response time, lower is better, or -1 if not computed
     * @param inFlight calls of this instance in flight to it
     * @param limit its concurrency limit at this instance, a number of calls
     * @param reportedInFlight calls in flight that it last reported, or -1 if there was no report
     * @param reportAgeNanos age of that report, or -1 if there was no report
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
