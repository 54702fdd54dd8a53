package org.snipeslip.core.once;

import org.snipeslip.core.id.IdempotencyKey;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.RouteId;
import org.snipeslip.core.routing.HomeRegions;

/**
 * Asks for the right to send a keyed, non-idempotent call once.
 *
 * @param request the call
 * @param organisation the caller's organisation, or null
 * @param route the call's route
 * @param key the caller's idempotency key
 * @param fingerprint digest of the request
 * @param homeRegions where its record may be kept
 * @param deadlineNanos when the caller stops waiting
 */
public record ClaimRequest(
        RequestId request,
        OrganisationId organisation,
        RouteId route,
        IdempotencyKey key,
        String fingerprint,
        HomeRegions homeRegions,
        long deadlineNanos) {}
