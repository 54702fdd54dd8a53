package org.snipeslip.core.call;

import java.util.ArrayList;
import java.util.List;
import org.snipeslip.core.admission.CallRank;
import org.snipeslip.core.admission.ShareVerdict;
import org.snipeslip.core.admission.Waiting;
import org.snipeslip.core.config.Organisation;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.idempotency.ClaimRequest;
import org.snipeslip.core.quota.QuotaReturn;
import org.snipeslip.core.retry.RetryRule;
import org.snipeslip.core.rollout.VersionGroup;
import org.snipeslip.core.routing.HomeRegions;
import org.snipeslip.core.suspect.Verdict;

/** One open call. Guarded by the lock of its {@link ServiceShard}. */
final class CallState {
    private static final long NANOS_PER_MILLI = 1_000_000;

    final RequestId request;
    final CallHead head;
    final Route route;
    final HomeRegions homeRegions;

    /** Organisation of the caller, or null. */
    final Organisation organisation;

    final CallRank rank;

    final long arrivedNanos;
    final long deadlineNanos;
    final boolean idempotent;

    /** All tries, including ended ones, so that no server is tried twice. */
    final List<OpenTry> tries = new ArrayList<>(2);

    /** The try whose response is relayed to the caller, or null. */
    OpenTry winner;

    /** The call's entry in the waiting queue, or null if it is not queued. */
    Waiting<CallState> queueEntry;

    /** The failure of the last failed try, or null. */
    TryFailure lastFailure;

    /** How the call competes for servers without a free slot. */
    ShareVerdict.Preference preference = ShareVerdict.Preference.BY_RANK;

    int retriesLeft;

    /** Tries whose connection was lost after the request had been sent. */
    int lostTryCount;

    /** The same tries while it is checked whether their servers crashed, or null. */
    LostTries lostTries;

    /** The highest level of suspicion that was known when a try was sent. */
    int suspicionLevel;

    /** Whether a backend server may have started the work. */
    boolean mayHaveStarted;

    /** Whether any byte of the request may have reached a backend server. */
    boolean bytesSent;

    /** Whether the call waits until it is known whether its request is suspected. */
    boolean awaitsVerdict;

    /** Whether as much of the body as fits into memory was read for this purpose. */
    boolean readAhead;

    /** What an instance of the home regions has told, or null if none was asked. */
    Verdict toldVerdict;

    /** The versions to which the first try may go, or null if calls are not divided. */
    VersionGroup versionGroup;

    /** Whether the group of the first try was decided. */
    boolean versionDecided;

    /** Whether no server of the new version had room. */
    boolean versionFellBack;

    /** Reported if the call ends without having run; null if it does not count for a quota. */
    QuotaReturn quotaReturn;

    boolean awaitsClaim;
    boolean claimGranted;
    boolean claimEnded;
    boolean callerDisconnected;
    boolean ended;

    CallState(
            RequestId request,
            CallHead head,
            Route route,
            HomeRegions homeRegions,
            Organisation organisation,
            long arrivedNanos,
            long deadlineNanos) {
        this.request = request;
        this.head = head;
        this.route = route;
        this.homeRegions = homeRegions;
        this.organisation = organisation;
        this.rank = CallRank.of(route, organisation);
        this.arrivedNanos = arrivedNanos;
        this.deadlineNanos = deadlineNanos;
        this.idempotent = route.isIdempotent(head.method());
    }

    /** Creates the state of an arriving call, whose time and retries the route and caller limit. */
    static CallState of(ArrivedCall arrived, CallSettings settings) {
        CallHead head = arrived.event().head();
        Route route = arrived.route();
        long limitNanos = route.deadlineMillis() * NANOS_PER_MILLI;
        long remainingNanos =
                head.remainingNanos() > 0
                        ? Math.min(head.remainingNanos(), limitNanos)
                        : limitNanos;
        CallState call =
                new CallState(
                        arrived.event().request(),
                        head,
                        route,
                        arrived.homeRegions(),
                        arrived.organisation(),
                        arrived.arrivedNanos(),
                        arrived.arrivedNanos() + remainingNanos);
        int retries = (route.maxTries() > 0 ? route.maxTries() : settings.maxTries()) - 1;
        call.retriesLeft =
                head.retriesLeft() >= 0 ? Math.min(head.retriesLeft(), retries) : retries;
        return call;
    }

    /** Returns the name of the caller's organisation, or null if there is none. */
    OrganisationId organisationId() {
        return organisation == null ? null : organisation.id();
    }

    int weight() {
        return organisation == null ? 1 : organisation.weight();
    }

    ClaimRequest claimRequest() {
        return new ClaimRequest(
                request,
                organisationId(),
                route.id(),
                head.idempotencyKey(),
                head.fingerprint(),
                homeRegions,
                deadlineNanos);
    }

    boolean needsClaim() {
        return !idempotent && head.idempotencyKey() != null;
    }

    boolean mayBeHedged(long nowNanos) {
        return tries.size() == 1
                && suspicionLevel == 0
                && RetryRule.mayHedge(
                        idempotent, head.bodyReplayable(), retriesLeft, deadlineNanos - nowNanos);
    }

    boolean isAnsweredOrEnded() {
        return ended || winner != null;
    }

    OpenTry findOpenTry(TryId id) {
        for (OpenTry openTry : tries) {
            if (openTry.open && openTry.id.equals(id)) {
                return openTry;
            }
        }
        return null;
    }

    /** Returns the open try, or null if there is none or more than one. */
    OpenTry onlyOpenTry() {
        return openTryCount() == 1
                ? tries.stream().filter(openTry -> openTry.open).findFirst().orElseThrow()
                : null;
    }

    int openTryCount() {
        int open = 0;
        for (OpenTry openTry : tries) {
            open += openTry.open ? 1 : 0;
        }
        return open;
    }

    /** Compares IDs, because a server that was removed and added again may have a new state. */
    boolean wasTriedAt(ServerState state) {
        for (int i = 0; i < tries.size(); i++) {
            if (tries.get(i).serverId.equals(state.server.id())) {
                return true;
            }
        }
        return false;
    }
}
