package org.snipeslip.core.idempotency;

import org.snipeslip.core.id.IdempotencyKey;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.RouteId;
import org.snipeslip.core.routing.HomeRegions;

/**
 * Requests permission to send a non-idempotent call with an idempotency key once.
 *
 * @param request the call
 * @param organisation the caller's organisation, or null if the caller has none
 * @param route the call's route
 * @param key the caller's idempotency key
 * @param fingerprint digest of the request
 * @param homeRegions regions in which the record of the key may be kept
 * @param deadlineNanos time at which the caller stops waiting, on the engine's clock
 */
public record ClaimRequest(
        RequestId request,
        OrganisationId organisation,
        RouteId route,
        IdempotencyKey key,
        String fingerprint,
        HomeRegions homeRegions,
        long deadlineNanos) {}
