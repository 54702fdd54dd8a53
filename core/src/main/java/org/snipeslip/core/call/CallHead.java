package org.snipeslip.core.call;

import org.snipeslip.core.id.IdempotencyKey;
import org.snipeslip.core.id.OrganisationId;

/**
 * What is known of a call before its body is read.
 *
 * @param method HTTP method
 * @param host host name without port, lower case
 * @param path raw path without the query
 * @param organisation the caller's organisation, or null
 * @param idempotencyKey the caller's key, or null
 * @param fingerprint digest of method, path and declared body length, to detect a key used for
 *     another request
 * @param remainingNanos time until the caller's deadline, or 0 for the route's default
 * @param depth how many load-balanced calls are above this one
 * @param retriesLeft retries that the whole call tree may still use, or -1 if the caller gave none
 * @param bodyReplayable whether the body is empty or small enough to be sent again
 */
public record CallHead(
        String method,
        String host,
        String path,
        OrganisationId organisation,
        IdempotencyKey idempotencyKey,
        String fingerprint,
        long remainingNanos,
        int depth,
        int retriesLeft,
        boolean bodyReplayable) {}
